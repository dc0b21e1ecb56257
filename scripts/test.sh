#!/usr/bin/env bash
# Runs gofumpt, go vet, staticcheck and the checks of file sizes and links, then all
# tests with -race and fixed seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
modules="contract foxtailctl foxtaild foxtailtry platform scheduler standin"
packages=()
for m in $modules; do packages+=("./$m/..."); done
echo "format"
sources=$(git ls-files '*.go' | grep -vE '\.pb\.go$|\.connect\.go$')
unformatted=$(go tool gofumpt -l $sources)
if [ -n "$unformatted" ]; then
	echo "not formatted by gofumpt:" "$unformatted"
	exit 1
fi
echo "vet"
go vet "${packages[@]}"
echo "staticcheck"
go tool staticcheck "${packages[@]}"
echo "sizes"
./scripts/sizes.sh
echo "links"
./scripts/links.sh
echo "tests"
./scripts/known-red.sh "${packages[@]}"
