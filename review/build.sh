#!/usr/bin/env bash
# The stand-ins of the cases are Python programs without further packages, so
# there is nothing to build. Checks what they need.
cd "$(dirname "$0")" || exit 1
python3 -c 'import asyncio, sys, tomllib; sys.exit(sys.version_info < (3, 11))' || {
  echo "Python 3.11 or later is needed"
  exit 1
}
