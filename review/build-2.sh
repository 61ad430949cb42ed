#!/bin/sh
# Builds what the cases 6 to 10 start besides the program: nothing has to be compiled. Their stand-ins (engines,
# discovery, clients, the platform) are review/peers2.py, standard library alone. This checks that they load.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; assert sys.version_info >= (3, 9); import peers2'
