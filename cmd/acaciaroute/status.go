package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
	"github.com/acaciaroute/acaciaroute/acaciawire"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const statusTimeout = 3 * time.Second

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show the state and configuration version of every process, and its requests",
		Flags:  platformFlags(),
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	statuses, err := fetchStatuses(ctx, c.String("vm-list"))
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(c.Root().Writer, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "PROCESS\tROLE\tDATA CENTRE\tVERSION\tSTATE")
	for _, status := range statuses {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\n", status.vm.ID, status.vm.Role, status.vm.DataCentre,
			status.reply.GetConfigurationVersion(), status.state())
	}
	_, _ = fmt.Fprintln(table, "\nPROCESS\tCLASS\tORGANISATION\tWAITING\tRUNNING\tDONE\tSHED")
	for _, status := range statuses {
		for _, count := range status.reply.GetCounts() {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", status.vm.ID, count.Class, count.Organisation,
				count.Waiting, count.Running, count.Done, count.Shed)
		}
	}
	writeServedShares(table, statuses, fetchTargetsInForce(ctx, statuses))
	return table.Flush()
}

// writeServedShares writes, for each class, the share of requests that the entries served
// within its targets, and the share that the targets require.
func writeServedShares(table io.Writer, statuses []vmStatus, targets *acaciatarget.Targets) {
	if targets == nil {
		return
	}
	_, _ = fmt.Fprintln(table, "\nCLASS\tENDED\tWITHIN TARGETS\tSHARE\tMUST BE")
	for _, class := range targets.Classes {
		var ended, within int64
		for _, status := range statuses {
			if status.vm.Role != acaciaroute.RoleEntry {
				continue
			}
			for _, count := range status.reply.GetCounts() {
				if count.Class == class.Name {
					ended += count.Done + count.Shed + count.Failed
					within += count.WithinTargets
				}
			}
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%.3f\n", class.Name, ended, within, formatShare(within, ended), class.ServedShare)
	}
}

func formatShare(within, ended int64) string {
	if ended == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", float64(within)/float64(ended))
}

// fetchTargetsInForce fetches the targets from the process with the newest configuration
// version. It returns nil if no process has a version, or if the targets cannot be fetched
// or parsed.
func fetchTargetsInForce(ctx context.Context, statuses []vmStatus) *acaciatarget.Targets {
	var newest vmStatus
	for _, status := range statuses {
		if status.reply.GetConfigurationVersion() > newest.reply.GetConfigurationVersion() {
			newest = status
		}
	}
	if newest.reply == nil {
		return nil
	}
	clients := acaciaprocess.NewClients()
	defer clients.Close()
	reply, err := clients.Peer(newest.vm.Address).Configuration(ctx, &acaciawire.ConfigurationRequest{})
	if err != nil {
		return nil
	}
	targets, err := acaciatarget.Parse(reply.Data)
	if err != nil {
		return nil
	}
	return targets
}

// vmStatus is the status of the process on one VM; reply is nil if it did not answer.
type vmStatus struct {
	vm    acaciaroute.VM
	reply *acaciawire.StatusReply
}

func (s vmStatus) state() string {
	switch {
	case s.reply == nil:
		return "silent"
	case s.reply.Stopping:
		return "stopping"
	case !s.reply.Ready:
		return "not ready"
	}
	return "ready"
}

// fetchStatuses asks all processes in the VM list for their status at the same time.
func fetchStatuses(ctx context.Context, vmList string) ([]vmStatus, error) {
	vms, err := newPlatform(acaciaplatform.Settings{VMList: vmList}).VMList().VMs(ctx)
	if err != nil {
		return nil, err
	}
	clients := acaciaprocess.NewClients()
	defer clients.Close()
	statuses := make([]vmStatus, len(vms))
	done := make(chan struct{}, len(vms))
	for i, vm := range vms {
		go func() {
			defer func() { done <- struct{}{} }()
			callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			reply, err := clients.Peer(vm.Address).Status(callCtx, &acaciawire.StatusRequest{})
			if err != nil {
				reply = nil
			}
			statuses[i] = vmStatus{vm: vm, reply: reply}
		}()
	}
	for range vms {
		<-done
	}
	return statuses, nil
}
