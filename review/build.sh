#!/bin/sh
# Builds the stand-ins and the cases into review/classes, with the JDK alone. Runs after the build of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -d classes rig/*.java [1-9]/*.java
