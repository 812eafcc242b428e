#!/bin/sh
# The stand-ins need only the standard library; this checks that they compile.
cd "$(dirname "$0")" && exec python3 -m compileall -q .
