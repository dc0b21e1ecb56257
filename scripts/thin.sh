#!/usr/bin/env bash
# End-to-end check with separate processes on loopback: starts the stand-in
# platform, two stand-in engines, a stand-in booking service and three daemons,
# publishes a configuration, sends requests through the daemons and stops all
# processes. FOXTAIL_PORT is the first of the ports in use.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
cleanup() {
	local status=$?
	if [ "$status" != 0 ]; then tail -n 5 "$work"/*.log >&2 || true; fi
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$work"
}
trap cleanup EXIT
go build -o "$work/" ./foxtaild ./foxtailctl ./standin
base_port=${FOXTAIL_PORT:-21000}
address() { echo "127.0.0.1:$((base_port + $1))"; }
start() {
	local name=$1
	shift
	"$@" >"$work/$name.out" 2>"$work/$name.log" &
	pids+=($!)
}
export FOXTAIL_KEY_PEPPER=thin-example-pepper-0123 FOXTAIL_TICKET_KEY=thin-example-ticket-0123
export FOXTAIL_LIST_LAG=300ms FOXTAIL_LOAN=1s
ctl="$work/foxtailctl"
read -r _ key < <("$ctl" keygen --key fx-crews | head -1)
hash=$("$ctl" keygen --key fx-crews | awk '/keyHash/ {print $2}')
sed -e "s/@HASH@/$hash/" -e "s/@ENGINE1@/$(address 1)/" -e "s/@ENGINE2@/$(address 2)/" -e "s/@SERVICE@/$(address 3)/" examples/thin/config.yaml.in >"$work/config.yaml"
printf '[' >"$work/hosts.json"
for i in 1 2 3; do
	[ "$i" = 1 ] || printf ',' >>"$work/hosts.json"
	printf '{"name":"h%d","domain":"d%d","region":"r1","address":"%s","state":"live"}' "$i" "$i" "$(address $((10 * i + 1)))" >>"$work/hosts.json"
done
printf ']' >>"$work/hosts.json"
start platform "$work/standin" --listen "$(address 0)" platform --hosts "$work/hosts.json" --lag 100ms
start engine1 "$work/standin" --listen "$(address 1)" engine --name engine1 --cold-for 1s
start engine2 "$work/standin" --listen "$(address 2)" engine --name engine2 --cold-for 1s --token-time 20ms
start service "$work/standin" --listen "$(address 3)" service
for i in 1 2 3; do
	start "h$i" "$work/foxtaild" --host "h$i" --domain "d$i" --region r1 --platform "$(address 0)" \
		--listen "$(address $((10 * i)))" --peers "$(address $((10 * i + 1)))" --admin "$(address $((10 * i + 2)))"
done
"$ctl" check "$work/config.yaml"
sleep 0.3
for value in $("$ctl" bundle "$work/config.yaml" --out "$work/bundle"); do
	curl -fsS -T "$work/bundle/$value" "http://$(address 0)/operator/values/$value"
done
hosts="$(address 12),$(address 22),$(address 32)"
"$ctl" status --hosts "$hosts" --wait 1 --timeout 8s
for i in 1 2 3; do
	echo "completion through h$i"
	curl -fsS -D - -H "Authorization: Bearer $key" -d '{"model":"report","prompt":"condition of the plaque","max_tokens":5}' "http://$(address $((10 * i)))/v1/completions" | tr -d '\r'
done
echo "stream through h1"
curl -fsSN -H "Authorization: Bearer $key" -d '{"model":"report","stream":true,"messages":[{"role":"user","content":"hello"}],"max_tokens":3}' "http://$(address 10)/v1/chat/completions"
echo "the same booking through h2 and h3 with one ticket issued by h1"
ticket=$(curl -fsS -X POST -H "Authorization: Bearer $key" "http://$(address 10)/v1/tickets" | sed 's/.*"ticket":"\([^"]*\)".*/\1/')
for i in 2 3; do
	curl -fsS -H "Authorization: Bearer $key" -H "Foxtail-Ticket: $ticket" -d '{"reference":"visit-1"}' "http://$(address $((10 * i)))/v1/services/booking/bookings"
done
echo "runs of each booking: $(curl -fsS "http://$(address 3)/stats")"
[ "$(curl -fsS "http://$(address 3)/stats")" = '{"visit-1":1}' ]
"$ctl" status --hosts "$hosts" --upstreams
for pid in "${pids[@]: -3}"; do kill -TERM "$pid"; done
for pid in "${pids[@]: -3}"; do wait "$pid"; done
echo "three daemons stopped gracefully"
