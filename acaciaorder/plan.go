package acaciaorder

import (
	"cmp"
	"slices"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
)

// Plan returns the missing orders. In every region where a model service has live
// endpoints, each of its models must be loaded on at least one of them. A missing
// model is assigned to the endpoint with the fewest models.
func Plan(targets *acaciatarget.Targets, vms []acaciaroute.VM) []Instruction {
	var instructions []Instruction
	for _, service := range targets.Services {
		if service.Kind != acaciatarget.KindModel {
			continue
		}
		for _, region := range liveRegions(service.Name, vms) {
			instructions = append(instructions, planRegion(service, region, vms)...)
		}
	}
	return instructions
}

// liveRegions returns the regions where a service has live endpoints, sorted by name.
func liveRegions(service string, vms []acaciaroute.VM) []string {
	var regions []string
	for _, vm := range vms {
		if servesLive(vm, service) && !slices.Contains(regions, vm.Region) {
			regions = append(regions, vm.Region)
		}
	}
	slices.Sort(regions)
	return regions
}

func planRegion(service acaciatarget.Service, region string, vms []acaciaroute.VM) []Instruction {
	modelCounts := map[string]int{}
	loaded := map[string]bool{}
	var candidates []string
	for _, vm := range vms {
		if !servesLive(vm, service.Name) || vm.Region != region {
			continue
		}
		candidates = append(candidates, vm.ID)
		modelCounts[vm.ID] = len(vm.Models)
		for _, model := range vm.Models {
			loaded[model] = true
		}
	}
	var instructions []Instruction
	for _, model := range service.Models {
		if loaded[model] {
			continue
		}
		vm := slices.MinFunc(candidates, func(a, b string) int { return cmp.Or(modelCounts[a]-modelCounts[b], cmp.Compare(a, b)) })
		modelCounts[vm]++
		instructions = append(instructions, Instruction{
			VM:      vm,
			Service: service.Name,
			Region:  region,
			Action:  acaciaroute.OrderLoad,
			Model:   model,
		})
	}
	return instructions
}

func servesLive(vm acaciaroute.VM, service string) bool {
	return vm.Role == acaciaroute.RoleEndpoint && vm.State == acaciaroute.VMLive && vm.Service == service
}
