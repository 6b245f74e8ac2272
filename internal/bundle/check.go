package bundle

// rule is one check of a bundle.
type rule struct {
	// needsCompleteBundle marks a rule that compares parts of the bundle with each
	// other. It is skipped if any part couldn't be decoded, because it would report
	// consequences of that error in correct parts.
	needsCompleteBundle bool
	check               func(b *Bundle, f *Findings)
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
	{check: checkEndpointLocations},
	{check: checkEndpointAddresses},
	{check: checkUniqueAddresses},
	{check: checkRouterLocations},
	{check: checkControlAddresses},
	{check: checkUniqueControlAddresses},
	{check: checkEndpointSlots},
	{check: checkEndpointServes},
	{check: checkPlacements},
	{check: checkPlacementLimits},
	{check: checkLimits},
	{check: checkRoutes},
	{check: checkQueueHoldsRequest},
	{needsCompleteBundle: true, check: checkGrantedClasses},
	{needsCompleteBundle: true, check: checkGrantedTiers},
	{needsCompleteBundle: true, check: checkServedModels},
	{needsCompleteBundle: true, check: checkServedServices},
	{needsCompleteBundle: true, check: checkPlacedModels},
	{needsCompleteBundle: true, check: checkRouteTable},
	{needsCompleteBundle: true, check: checkModelCoverage},
	{needsCompleteBundle: true, check: checkServiceCoverage},
	{needsCompleteBundle: true, check: checkControlCoverage},
}

// Check applies every rule to a decoded bundle and returns all findings.
func Check(b *Bundle) Findings {
	return check(b, true)
}

func check(b *Bundle, complete bool) Findings {
	var f Findings
	for _, r := range rules {
		if complete || !r.needsCompleteBundle {
			r.check(b, &f)
		}
	}
	return f
}
