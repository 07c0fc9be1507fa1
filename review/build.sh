#!/bin/sh
# Builds the stand-ins and the cases, with the JDK alone, into review/target.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir target
javac -encoding UTF-8 -Xlint:all -d target standins/review/*.java [0-9]/*.java
