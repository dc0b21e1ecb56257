#!/usr/bin/env bash
# Runs each policy at 0.7, 1, 1.5 and 3 times the scenario's load, with warm
# engines and without a drain, and prints the report of each run with a line for
# each tier. Arguments: example directory, seeds, seconds of each run.
# The variables LOADS and POLICIES replace the lists of loads and policies.
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
