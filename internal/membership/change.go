package membership

import "sort"

// change is a record or a summary to send to a partner. Either item or summary is set.
type change struct {
	seq     int64 // local sequence number of the last change of the item or summary
	item    *Item
	summary *Summary
}

func sortChanges(list []change) {
	sort.Slice(list, func(i, j int) bool { return list[i].seq < list[j].seq })
}
