#!/usr/bin/env bash
# Mutation testing: applies each mutation of scripts/mutations.txt to a copy of
# the scheduler module and runs the named test, which must fail. Prints a line
# for each mutation. Exits with 1 if a test passes, the line to change is missing
# or the changed code does not compile.
set -uo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
while IFS='~' read -r name file from to package test; do
	[ -n "$name" ] || continue
	rm -rf "$work/scheduler"
	cp -r scheduler "$work/scheduler"
	if ! FROM="$from" TO="$to" perl -0pi -e 'BEGIN{$f=$ENV{FROM};$t=$ENV{TO}} $n+=s/\Q$f\E/$t/; END{exit($n?0:1)}' "$work/scheduler/$file"; then
		echo "STALE  $name: the line to change is missing in scheduler/$file"
		failed=1
		continue
	fi
	if (cd "$work/scheduler" && GOWORK=off go test -count=1 -timeout 60s -run "^$test\$" "./$package" -rapid.shrinktime=1s >"$work/out" 2>&1); then
		echo "GREEN  $name: $test passes despite the mutation"
		failed=1
	elif grep -q "build failed" "$work/out"; then
		echo "BROKEN $name: $(grep -m1 -E '\.go:' "$work/out")"
		failed=1
	else
		echo "red    $name: $test"
	fi
done <scripts/mutations.txt
exit $failed
