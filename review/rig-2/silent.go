package main

import "time"

const (
	// patience is after which gap clients abandon a stream, also before its first event: two
	// seconds, four times the objective of 500 ms or eight times the pause of 250 ms.
	patience = 2 * time.Second
	// silentGap is the time between two times at which the request comes.
	silentGap = 3 * time.Second
	// silentTimes is how often the request comes.
	silentTimes = 14
)

// silent has one request come at one machine after the other, every three seconds. It crashes
// each server that runs it, which is then silent for some seconds, and its client abandons
// the stream after two seconds without an event.
func silent(b *bench) (broken bool, err error) {
	hosts, servers, err := b.startModels(true)
	if err != nil {
		return false, err
	}
	stop := b.traffic(hosts, 10, streams)
	defer stop()
	time.Sleep(contact + 2*time.Second)
	poisonous := make(map[string]bool)
	for i := range silentTimes {
		next := time.Now().Add(silentGap)
		h := hosts[i%len(hosts)]
		q := poisonRequest(3 * time.Second)
		q.patience = patience
		a := q.send(h.frontend())
		poisonous[a.id] = true
		b.log.line("time %d, %s answers %s", i+1, h.name, a)
		time.Sleep(time.Until(next))
	}
	return b.judgePoison(servers, poisonous), nil
}
