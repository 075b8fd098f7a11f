package membership

import "sort"

// change is a record or a summary to send, with the local sequence number of its last change. Either item or summary is set.
type change struct {
	seq     int64
	item    *Item
	summary *Summary
}

func sortChanges(list []change) {
	sort.Slice(list, func(i, j int) bool { return list[i].seq < list[j].seq })
}
