#!/bin/sh
# Runs the case of one class; $1: the case's folder, $2: the class. Exits with 2 if it could not run.
cd "$1" || exit 2
root=$(cd ../.. && pwd)
[ -f "$root/sidecar/target/dillcross.jar" ] && [ -f "$root/review/target/$2.class" ] || exit 2
java -Xmx512m -cp "$root/review/target" "$2" "$root" "$PWD/record.txt"
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
