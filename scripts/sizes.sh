#!/usr/bin/env bash
# Fails if a tracked file is larger than 1 MB, as built programs are.
set -euo pipefail
cd "$(dirname "$0")/.."
large=$(git ls-files -z | xargs -0 stat -c '%s %n' -- 2>/dev/null | awk '$1 > 1000000' || true)
if [ -n "$large" ]; then
	echo "tracked files over 1 MB:"
	echo "$large"
	exit 1
fi
