package kit

import "fmt"

// KigaliConfig returns a configuration like that of a broker of kigali-main at its first size: 6 cells of 3 shards, two query
// types, three brokers. lanes are the query types, in the order in which the settings list them.
func KigaliConfig(addr, discovery, list string, lanes Lanes) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":%s,
 "settings":{"instances":3,"index":0,"tick":5,"myZone":"a","zones":["a"],"discovery":"pushed","worthBy":"work","overShareWorth":0.1,
  "lanes":%s,
  "tenants":[{"name":"umucyo-build","quotaPerS":14,"share":0.6},{"name":"gasabo-frames","quotaPerS":5,"share":0.22},
   {"name":"nyanza-glazing","quotaPerS":4,"share":0.18}],
  "familyInfo":{"perCall":1,"places":6,"reach":1,"slices":18,%s},
  "policyLimits":{"mostTries":4,"maxOpen":222,"streamsPerConn":32,"mayCancel":true,"mayProbe":true,"secondCopies":false,
   "retryAfter":false,"maxRetryAfter":500,"dialTimeout":250,"keepalive":30000},
  "rules":{"answerSlack":20,"cold":15000,"coldFrom":0.16,"fall":3000,"fallMultiple":3,"drainGrace":250,"countedOver":10000,
   "furtherRatio":0.2,"minExtra":20}}}`, addr, discovery, list, lanes.JSON, lanes.Family)
}

// Lanes are the query types of a configuration, and the lists of familyInfo in their order.
type Lanes struct {
	// JSON is the list of the query types, and Family the members of familyInfo that have one element for each.
	JSON, Family string
}

// KigaliLanes are the query types of kigali-main: any 67% of the parts of a quick-match make a whole answer, and all of the parts of
// a full-quote.
var KigaliLanes = Lanes{
	JSON: `[{"name":"quick-match","effect":"read_like","group":"all","target":1200,"giveUp":4000,"worth":2,"lateWorth":0,"window":5000},
   {"name":"full-quote","effect":"read_like","group":"all","target":2000,"giveUp":4000,"worth":1,"lateWorth":0.1,"window":5000}]`,
	Family: `"classNeed":[0.67,1.0],"minShare":[0.67,1.0],"incompleteWorth":[0.9,0.9],"fetchParts":[0,0]`,
}
