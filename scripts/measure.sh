#!/usr/bin/env bash
# Runs every policy under 0.7, 1, 1.5 and 3 times the load, on warm engines,
# and prints a line for each tier. Arguments: example, seeds, seconds.
set -euo pipefail
cd "$(dirname "$0")/.."
example=${1:-examples/benjelloun}
seeds=${2:-"1"}
seconds=${3:-15}
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" ./foxtailtry
for load in ${LOADS:-0.7 1 1.5 3}; do
	for policy in ${POLICIES:-foxtaillug roundRobin leastLoad oneQueue}; do
		for seed in $seeds; do
			echo "load $load policy $policy seed $seed"
			"$bin/foxtailtry" "$example" --load "$load" --policy "$policy" --seed "$seed" --duration "${seconds}s" --warm --no-drain 2>/dev/null
		done
	done
done
