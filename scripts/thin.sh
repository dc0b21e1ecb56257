#!/usr/bin/env bash
# Starts the whole path as separate processes on loopback: the platform, two
# engines, a booking service and three daemons; publishes a configuration and
# sends requests through. Ends all of it again.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
finish() {
	local code=$?
	if [ "$code" != 0 ]; then tail -n 5 "$work"/*.log >&2 || true; fi
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$work"
}
trap finish EXIT
go build -o "$work/" ./foxtaild ./foxtailctl ./standin
base=${FOXTAIL_PORT:-21000}
at() { echo "127.0.0.1:$((base + $1))"; }
start() {
	local log=$1
	shift
	"$@" >"$work/$log.out" 2>"$work/$log.log" &
	pids+=($!)
}
export FOXTAIL_KEY_PEPPER=thin-example-pepper-0123 FOXTAIL_TICKET_KEY=thin-example-ticket-0123
export FOXTAIL_LIST_LAG=300ms FOXTAIL_LOAN=1s
ctl="$work/foxtailctl"
read -r _ key < <("$ctl" keygen --key fx-crews | head -1)
hash=$("$ctl" keygen --key fx-crews | awk '/keyHash/ {print $2}')
sed -e "s/@HASH@/$hash/" -e "s/@ENGINE1@/$(at 1)/" -e "s/@ENGINE2@/$(at 2)/" -e "s/@SERVICE@/$(at 3)/" examples/thin/config.yaml.in >"$work/config.yaml"
printf '[' >"$work/hosts.json"
for i in 1 2 3; do
	[ "$i" = 1 ] || printf ',' >>"$work/hosts.json"
	printf '{"name":"h%d","domain":"d%d","region":"r1","address":"%s","state":"live"}' "$i" "$i" "$(at $((10 * i + 1)))" >>"$work/hosts.json"
done
printf ']' >>"$work/hosts.json"
start platform "$work/standin" --listen "$(at 0)" platform --hosts "$work/hosts.json" --lag 100ms
start engine1 "$work/standin" --listen "$(at 1)" engine --name engine1 --cold-for 1s
start engine2 "$work/standin" --listen "$(at 2)" engine --name engine2 --cold-for 1s --token-time 20ms
start service "$work/standin" --listen "$(at 3)" service
for i in 1 2 3; do
	start "h$i" "$work/foxtaild" --host "h$i" --domain "d$i" --region r1 --platform "$(at 0)" \
		--listen "$(at $((10 * i)))" --peers "$(at $((10 * i + 1)))" --admin "$(at $((10 * i + 2)))"
done
"$ctl" check "$work/config.yaml"
sleep 0.3
for value in $("$ctl" bundle "$work/config.yaml" --out "$work/bundle"); do
	curl -fsS -T "$work/bundle/$value" "http://$(at 0)/operator/values/$value"
done
hosts="$(at 12),$(at 22),$(at 32)"
"$ctl" status --hosts "$hosts" --wait 1 --timeout 8s
for i in 1 2 3; do
	echo "completion through h$i"
	curl -fsS -D - -H "Authorization: Bearer $key" -d '{"model":"report","prompt":"condition of the plaque","max_tokens":5}' "http://$(at $((10 * i)))/v1/completions" | tr -d '\r'
done
echo "stream through h1"
curl -fsSN -H "Authorization: Bearer $key" -d '{"model":"report","stream":true,"messages":[{"role":"user","content":"hello"}],"max_tokens":3}' "http://$(at 10)/v1/chat/completions"
echo "booking with a ticket of h1 sent twice, through h2 and h3"
ticket=$(curl -fsS -X POST -H "Authorization: Bearer $key" "http://$(at 10)/v1/tickets" | sed 's/.*"ticket":"\([^"]*\)".*/\1/')
for i in 2 3; do
	curl -fsS -H "Authorization: Bearer $key" -H "Foxtail-Ticket: $ticket" -d '{"reference":"visit-1"}' "http://$(at $((10 * i)))/v1/services/booking/bookings"
done
echo "runs: $(curl -fsS "http://$(at 3)/stats")"
[ "$(curl -fsS "http://$(at 3)/stats")" = '{"visit-1":1}' ]
"$ctl" status --hosts "$hosts" --upstreams
for pid in "${pids[@]: -3}"; do kill -TERM "$pid"; done
for pid in "${pids[@]: -3}"; do wait "$pid"; done
echo "three daemons stopped gracefully"
