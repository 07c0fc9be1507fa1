#!/bin/sh
# Builds the stand-ins of the cases 6 to 8, with the JDK alone.
set -e
cd "$(dirname "$0")/standins-2"
rm -rf target
mkdir target
javac -nowarn -d target ./*.java
