#!/bin/sh
# Builds the stand-ins and the programs of the cases 6 to 10. Needs nothing but the JDK.
set -eu
cd "$(dirname "$0")"
rm -rf standin-2/target
mkdir -p standin-2/target
javac -nowarn -d standin-2/target standin-2/*.java
for folder in 6 7 8 9 10; do
  if ls "$folder"/src/*.java >/dev/null 2>&1; then
    rm -rf "$folder/target"
    mkdir -p "$folder/target"
    javac -nowarn -cp standin-2/target -d "$folder/target" "$folder"/src/*.java
  fi
done
