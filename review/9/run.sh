#!/bin/sh
# Case 9. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no server is killed.
cd "$(dirname "$0")" || exit 2
for python in /usr/bin/python3 python3; do
    if "$python" -c 'import asyncio, sys; sys.exit(sys.version_info < (3, 9))' 2>/dev/null; then
        exec "$python" -B case.py
    fi
done
echo "no Python 3.9 or later"
exit 2
