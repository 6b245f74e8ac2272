package main

import "time"

// What the case plays: the operator evacuates one of three zones while its replicas answer.
const (
	manySlots      = 64 // no replica has a queue
	evacuatedZone  = "zone-a"
	afterEvacuated = 5 * time.Second
)

// evacuated checks that no more than three whole answers of sound replicas are cut off when their zone is evacuated.
func evacuated(r *rig, trouble bool) int {
	l := r.startReviews(manySlots)
	time.Sleep(calmFor)
	if trouble {
		zone := evacuatedZone
		if control() {
			zone = "zone-without-replicas"
		}
		r.record.printf("%s is evacuated", zone)
		r.store.Put(names["evacuate_prefix"]+zone, map[string]any{})
	}
	time.Sleep(afterEvacuated)
	return l.end()
}
