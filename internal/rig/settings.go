package rig

// SettingsJSON is the settings of a broker with three replica groups of one shard each, as JSON. Start replaces CANCEL by
// true (nodes may be sent cancellations), unless its caller replaces it by another value.
const SettingsJSON = `{"instances":1,"tick":5,"myZone":"a","discovery":"pushed","worthBy":"request","overShareWorth":0.1,
 "lanes":[{"name":"all","effect":"read_like","target":4000,"giveUp":16000,"worth":1,"window":1000},
  {"name":"any","effect":"read_like","target":4000,"giveUp":16000,"worth":1,"window":1000},
  {"name":"two","effect":"read_like","target":4000,"giveUp":16000,"worth":1,"window":1000},
  {"name":"once","effect":"non_idempotent","target":4000,"giveUp":16000,"worth":1,"window":1000},
  {"name":"some","effect":"read_like","target":4000,"giveUp":16000,"worth":1,"window":1000}],
 "tenants":[{"name":"acme","quotaPerS":1000}],
 "familyInfo":{"perCall":1,"places":3,"reach":1,"slices":3,"classNeed":[1,0.67,1,1,1],"minShare":[1,0.67,1,1,0.3],
  "incompleteWorth":[0,0,0,0,0.5],"fetchParts":[0,0,1,0,0]},
 "policyLimits":{"mostTries":3,"maxOpen":2000,"streamsPerConn":64,"mayCancel":CANCEL,"mayProbe":true,
  "dialTimeout":300,"keepalive":30000},
 "rules":{"cold":1000,"coldFrom":0.5,"fall":1000,"fallMultiple":3,"drainGrace":250,"countedOver":10000,
  "furtherRatio":0.2,"minExtra":20}}`
