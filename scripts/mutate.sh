#!/usr/bin/env bash
# Switches one mechanism at a time off, in a copy, and looks whether its test
# turns red. Prints a line for each; ends with 1 if a test stayed green.
set -uo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
bad=0
while IFS='~' read -r name file from to package test; do
	[ -n "$name" ] || continue
	rm -rf "$work/scheduler"
	cp -r scheduler "$work/scheduler"
	if ! FROM="$from" TO="$to" perl -0pi -e 'BEGIN{$f=$ENV{FROM};$t=$ENV{TO}} $n+=s/\Q$f\E/$t/; END{exit($n?0:1)}' "$work/scheduler/$file"; then
		echo "STALE  $name: the mutated line is gone"
		bad=1
		continue
	fi
	if (cd "$work/scheduler" && GOWORK=off go test -count=1 -timeout 60s -run "^$test\$" "./$package" -rapid.shrinktime=1s >"$work/out" 2>&1); then
		echo "GREEN  $name: $test does not notice"
		bad=1
	elif grep -q "build failed" "$work/out"; then
		echo "BROKEN $name: $(grep -m1 -E '\.go:' "$work/out")"
		bad=1
	else
		echo "red    $name: $test"
	fi
done <scripts/mutations.txt
exit $bad
