package fleet

// AddressesByService returns the addresses of the usable endpoints of each service, those of
// silent ones only for services that have no others.
func AddressesByService(list []Endpoint) map[string][]string {
	out := map[string][]string{}
	silent := map[string][]string{}
	for i := range list {
		e := &list[i]
		switch {
		case !e.Usable():
		case e.Silent:
			silent[e.Service] = append(silent[e.Service], e.Address)
		default:
			out[e.Service] = append(out[e.Service], e.Address)
		}
	}
	for name, addresses := range silent {
		if len(out[name]) == 0 {
			out[name] = addresses
		}
	}
	return out
}
