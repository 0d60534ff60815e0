package acaciaorder

import (
	"cmp"
	"slices"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
)

// Plan returns the orders that are missing: in every region where a model service
// has live endpoints, each of its models is loaded at one of them at least. The
// endpoint with the fewest models gets the next one.
func Plan(targets *acaciatarget.Targets, vms []acaciaroute.VM) []Instruction {
	var instructions []Instruction
	for _, service := range targets.Services {
		if service.Kind != acaciatarget.KindModel {
			continue
		}
		for _, region := range regionsOf(service.Name, vms) {
			instructions = append(instructions, planRegion(service, region, vms)...)
		}
	}
	return instructions
}

// regionsOf returns the regions where a service has live endpoints, in order.
func regionsOf(service string, vms []acaciaroute.VM) []string {
	var regions []string
	for _, vm := range vms {
		if serves(vm, service) && !slices.Contains(regions, vm.Region) {
			regions = append(regions, vm.Region)
		}
	}
	slices.Sort(regions)
	return regions
}

func planRegion(service acaciatarget.Service, region string, vms []acaciaroute.VM) []Instruction {
	models := map[string]int{}
	loaded := map[string]bool{}
	var candidates []string
	for _, vm := range vms {
		if !serves(vm, service.Name) || vm.Region != region {
			continue
		}
		candidates = append(candidates, vm.ID)
		models[vm.ID] = len(vm.Models)
		for _, model := range vm.Models {
			loaded[model] = true
		}
	}
	var instructions []Instruction
	for _, model := range service.Models {
		if loaded[model] {
			continue
		}
		vm := slices.MinFunc(candidates, func(a, b string) int { return cmp.Or(models[a]-models[b], cmp.Compare(a, b)) })
		models[vm]++
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

func serves(vm acaciaroute.VM, service string) bool {
	return vm.Role == acaciaroute.RoleEndpoint && vm.State == acaciaroute.VMLive && vm.Service == service
}
