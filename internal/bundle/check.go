package bundle

// rule is one thing that must hold for a bundle.
type rule struct {
	// whole marks a rule that compares parts of the bundle with each other.
	// It is left out when some part couldn't be decoded, as it would report
	// consequences of that fault in places that are right.
	whole bool
	check func(b *Bundle, f *Findings)
}

var rules = []rule{
	{check: checkFormat},
	{check: checkVersion},
	{check: checkValidity},
	{check: checkTierCount},
	{check: checkNames},
	{check: checkUniqueNames},
	{check: checkClassTargets},
	{check: checkDeadlines},
	{check: checkTeamGrants},
	{check: checkTeamKeys},
	{check: checkSharedKeys},
	{check: checkTeamLimits},
	{check: checkEndpointPlaces},
	{check: checkEndpointAddresses},
	{check: checkUniqueAddresses},
	{check: checkRouterPlaces},
	{check: checkControlAddresses},
	{check: checkUniqueControlAddresses},
	{check: checkEndpointSlots},
	{check: checkEndpointServes},
	{check: checkPlacements},
	{check: checkPlacementLimits},
	{check: checkLimits},
	{check: checkRoutes},
	{check: checkQueueHoldsRequest},
	{whole: true, check: checkGrantedClasses},
	{whole: true, check: checkGrantedTiers},
	{whole: true, check: checkServedModels},
	{whole: true, check: checkServedServices},
	{whole: true, check: checkPlacedModels},
	{whole: true, check: checkRouteTable},
	{whole: true, check: checkModelCoverage},
	{whole: true, check: checkServiceCoverage},
	{whole: true, check: checkControlCoverage},
}

// Check applies every rule to a decoded bundle and returns all that it finds.
func Check(b *Bundle) Findings {
	return check(b, true)
}

func check(b *Bundle, whole bool) Findings {
	var f Findings
	for _, r := range rules {
		if whole || !r.whole {
			r.check(b, &f)
		}
	}
	return f
}
