package main

import (
	"fmt"
	"strings"
)

// configuration returns a gateway's configuration: a small deployment with three classes, prefill
// and decode engines in one rack, probes, load reports in answers and places held ahead.
func configuration(number, gateways int, listen, discovery string, w *world) string {
	return fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be96%d",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":%s,
"settings":{"siblings":%d,"my_number":%d,"locality":"north","localities":["north"],"kinds":["reader","writer"],
"discovery":"automatic","service_type":"twostage","tick":4,"weights":"nominal","worth_by":"work",
"lanes":[
{"name":"rate-check","aim":800,"deadline":4000,"worth":2,"late_share":0.2,"effect":"pure","group":"all","memory_span":5000,"stream":true},
{"name":"case-chat","aim":3000,"deadline":15000,"worth":2,"late_share":0.1,"effect":"pure","group":"all","memory_span":5000,"stream":true},
{"name":"send-order","aim":1200,"deadline":6000,"worth":5,"late_share":0.2,"effect":"side_effect","group":"all","memory_span":5000,"stream":true}],
"family_info":{"early_pairing":true,"kind_role":["read","write"],"release":500,"tokens_by_kind":[280000,190000],
"aim_us_per_1000_prompt_tokens":[60000,40000,40000],"token_aim":[50,80,60],"resume":false,"writers_read":false},
"ceilings":{"attempts_cap":6,"cancel":true,"probes":true,"second_copies":false,"retry_after":true,"max_retry_after":500,
"connect_timeout":250,"conn_idle":15000,"multiplex":100},
"obligations":{"answer_slack":16,"ask_every":10000,"drain_grace":1000,"fall":1000,"fall_multiple":2.5,"start_capacity":0.31,"warm_within":12000},
"report":{"how":"inline","fields":["busy_reqs","pending","x0","x1"]}}}`,
		number, listen, discovery, number, w.instances(), gateways, number)
}

// instances returns the list of engines in discovery's form.
func (w *world) instances() string {
	var entries []string
	for _, e := range w.engines {
		entries = append(entries, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"north","machineType":%q,"cell":0,"lifecycle":"up","weight":1.0,"startedAtMs":0}`,
			e.id, e.addr, e.role))
	}
	return `{"generation":7,"reset":true,"instances":[` + strings.Join(entries, ",") + `]}`
}
