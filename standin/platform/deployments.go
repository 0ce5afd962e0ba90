package platform

import "github.com/wagtailcroft/wagtailcroft/shared/identifier"

const (
	acceleratorsPerWorker = 8

	thengolaRacksPerZone   = 2
	thengolaWorkersPerRack = 6
	thengolaRunnersPerZone = 12

	derwentRacksPerZone   = 2
	derwentWorkersPerRack = 8
	derwentRunnersPerZone = 16
)

// Deployment describes the zones of a deployment and their sizes.
type Deployment struct {
	Zones          []identifier.Zone
	RacksPerZone   int
	WorkersPerRack int
	RunnersPerZone int
}

// Thengola is the deployment in Kerala.
func Thengola() Deployment {
	return Deployment{
		Zones:          []identifier.Zone{"kochi", "thrissur", "kozhikode", "thiruvananthapuram"},
		RacksPerZone:   thengolaRacksPerZone,
		WorkersPerRack: thengolaWorkersPerRack,
		RunnersPerZone: thengolaRunnersPerZone,
	}
}

// Derwent is the deployment in Tasmania.
func Derwent() Deployment {
	return Deployment{
		Zones:          []identifier.Zone{"hobart", "launceston", "burnie"},
		RacksPerZone:   derwentRacksPerZone,
		WorkersPerRack: derwentWorkersPerRack,
		RunnersPerZone: derwentRunnersPerZone,
	}
}

// Layout returns the layout of the deployment's workers. It has no runners: the caller adds
// their addresses to the zones.
func (de Deployment) Layout() Layout {
	var la Layout
	for _, zone := range de.Zones {
		la.Zones = append(la.Zones, ZoneLayout{
			Zone:           zone,
			Racks:          de.RacksPerZone,
			WorkersPerRack: de.WorkersPerRack,
			Accelerators:   acceleratorsPerWorker,
		})
	}
	return la
}
