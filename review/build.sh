#!/bin/sh
# Builds the stand-ins that the cases start. Needs no network.
set -eu
cd "$(dirname "$0")"
mkdir -p target
javac -nowarn -d target standin/*.java [0-9]/*.java
