#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python: this checks that
# they compile, and leaves nothing behind.
set -e
cd "$(dirname "$0")"
for file in harness_2.py [6-9]/*.py 10/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
