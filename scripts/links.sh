#!/usr/bin/env bash
# Checks that every relative link in the pages leads to a file.
set -euo pipefail
cd "$(dirname "$0")/.."
bad=0
while IFS=: read -r page link; do
	target="$(dirname "$page")/${link%%#*}"
	if [ ! -e "$target" ]; then
		echo "$page: $link leads nowhere"
		bad=1
	fi
done < <(git ls-files '*.md' | xargs grep -oHE '\]\([^)]+\)' | sed -E 's/\]\(([^)]+)\)/\1/' | grep -vE ':(https?|mailto):')
exit $bad
