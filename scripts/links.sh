#!/usr/bin/env bash
# Checks that the target of every relative link in the Markdown pages exists.
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0
while IFS=: read -r page link; do
	target="$(dirname "$page")/${link%%#*}"
	if [ ! -e "$target" ]; then
		echo "$page: link target $link does not exist"
		failed=1
	fi
done < <(git ls-files '*.md' | xargs grep -oHE '\]\([^)]+\)' | sed -E 's/\]\(([^)]+)\)/\1/' | grep -vE ':(https?|mailto):')
exit $failed
