package fleet

// PartitionRouter partitions a router from the other routers' control addresses, in both
// directions, until Heal.
func (f *Fleet) PartitionRouter(router int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.controls {
		if i != router {
			f.network.cut(path{from: routerName(i), to: f.controls[router].listener.Addr().String()})
			f.network.cut(path{from: routerName(router), to: f.controls[i].listener.Addr().String()})
		}
	}
}
