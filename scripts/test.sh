#!/usr/bin/env bash
# Checks format, vet and staticcheck, and runs all tests with fixed seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
modules="contract foxtailctl foxtaild foxtailtry platform scheduler standin"
packages=()
for m in $modules; do packages+=("./$m/..."); done
echo "format"
hand=$(git ls-files '*.go' | grep -vE '\.pb\.go$|\.connect\.go$')
unformatted=$(go tool gofumpt -l $hand)
if [ -n "$unformatted" ]; then
	echo "not formatted by gofumpt:" "$unformatted"
	exit 1
fi
echo "vet"
go vet "${packages[@]}"
echo "staticcheck"
go tool staticcheck "${packages[@]}"
echo "links"
./scripts/links.sh
echo "tests"
./scripts/known-red.sh "${packages[@]}"
