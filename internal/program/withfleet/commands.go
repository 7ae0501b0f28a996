package withfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"brackenfront/budget"
	"brackenfront/internal/fleet"
	"brackenfront/internal/fleet/council"
	"brackenfront/internal/fleet/wire"
	"brackenfront/internal/options"
	"brackenfront/internal/program"
)

// commandTimeout is how long an operator's command may wait for the fleet.
const commandTimeout = 15 * time.Second

// runCommand sends an operator's command to the fleet's council and prints the result on standard output, as tables or as
// JSON.
func runCommand(operatorOptions *options.Options, command program.FleetCommand) error {
	keys, err := wire.ReadKeys(operatorOptions.Fleet.KeyFile)
	if err != nil {
		return fmt.Errorf("options: field fleet.keys: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	adminClient := fleet.AdminClient{Council: councilMembers(operatorOptions), Keys: keys, Environment: fleet.RealEnvironment()}
	switch command.Name {
	case "leases":
		leases, err := adminClient.Leases(ctx, command.FirstLease, command.MaxLeases)
		if err != nil {
			return err
		}
		if command.JSON {
			return printJSON(leases)
		}
		printLeases(leases)
		return nil
	case "replace":
		return adminClient.ReplaceMember(ctx, fleet.Replacement{OldBroker: command.ReplacedBroker, NewBroker: command.ReplacementBroker})
	case "budgets":
		return runBudgets(ctx, adminClient, command)
	case "roll":
		return runRollingRestart(ctx, adminClient, command)
	}
	return runStatus(ctx, adminClient, command)
}

// runStatus prints the statuses of the council's brokers on standard output, as tables or as JSON. It returns an error if a
// broker of the council did not answer.
func runStatus(ctx context.Context, adminClient fleet.AdminClient, command program.FleetCommand) error {
	statuses, failed := adminClient.Statuses(ctx)
	if command.JSON {
		// output is the JSON form of the council's statuses. Failed maps each broker that did not answer to the error.
		output := struct {
			Brokers []fleet.Status    `json:"brokers"`
			Failed  map[string]string `json:"failed,omitempty"`
		}{statuses, map[string]string{}}
		for broker, err := range failed {
			output.Failed[broker] = err.Error()
		}
		if err := printJSON(output); err != nil {
			return err
		}
	} else {
		printStatuses(statuses, failed)
	}
	if len(failed) > 0 {
		return fmt.Errorf("%d of %d brokers of the council did not answer", len(failed), len(adminClient.Council))
	}
	return nil
}

// printJSON prints a value on standard output as indented JSON. It returns the error if that fails.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printStatuses prints two tables of the council on standard output: the state of each member's own copy of the council's
// log, and the members as the leader sees them. failed maps the names of the brokers that did not answer to the errors.
func printStatuses(statuses []fleet.Status, failed map[string]error) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "broker\tseat\tleader\tterm\tagreed\tsessions\tleases\tlast token")
	for _, status := range statuses {
		state := "none"
		if status.Member != nil {
			switch {
			case status.Member.Failed != "":
				state = "failed: " + status.Member.Failed
			case status.Member.Blank:
				state = "blank"
			case status.Member.IsLeader:
				state = "leads"
			default:
				state = "follows"
			}
			if status.Member.ChangeInProgress {
				state += ", a voter is being replaced"
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\n", status.Broker, state, status.Member.Leader, status.Member.Term, status.Member.Commit, status.Member.Sessions, status.Member.HeldLeases, status.Member.LastToken)
		} else {
			fmt.Fprintf(table, "%s\t%s\n", status.Broker, state)
		}
	}
	for _, broker := range slices.Sorted(maps.Keys(failed)) {
		fmt.Fprintf(table, "%s\tdoes not answer: %v\n", broker, failed[broker])
	}
	for _, status := range statuses {
		if status.Member != nil && status.Member.IsLeader {
			fmt.Fprintln(table, "\nseat of\tlistens at\tanswers\tlog\tdisk")
			for _, replica := range status.Member.Members {
				answers := fmt.Sprint(replica.Active)
				if replica.Learner {
					answers += ", learns"
				}
				fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%016x\n", replica.Broker, replica.Addr, answers, replica.MatchIndex, replica.Disk)
			}
		}
	}
	table.Flush()
}

// printLeases prints leases on standard output, as a table with a line for each holder; the brokers that wait for a lease
// stand in its first line.
func printLeases(leases *council.ReadResult) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "lease\tplace\theld by\ttoken\tends in, unless renewed\twaiting")
	for _, lease := range leases.Leases {
		for i, holder := range lease.Holders {
			waiters := ""
			if i == 0 {
				waiters = strings.Join(lease.Waiters, ", ")
			}
			fmt.Fprintf(table, "%s\t%d of %d\t%s\t%d\t%.1f s\t%s\n", lease.Name, holder.Place+1, lease.Places, holder.Owner, holder.Token, holder.ExpiresIn, waiters)
		}
		if len(lease.Holders) == 0 {
			fmt.Fprintf(table, "%s\t-\t-\t-\t-\t%s\n", lease.Name, strings.Join(lease.Waiters, ", "))
		}
	}
	table.Flush()
}

// runBudgets prints the fleet's budgets on standard output, as JSON or as two tables: how much of each is given to brokers
// and how much is free, and the share of each broker.
func runBudgets(ctx context.Context, adminClient fleet.AdminClient, command program.FleetCommand) error {
	pools, err := adminClient.Pools(ctx)
	if err != nil {
		return err
	}
	if command.JSON {
		return printJSON(pools)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "budget\tkind\twhole\tfloors\tgiven\tlapsing\tidle")
	// units formats an amount as a number of budget.Unit, with three decimals.
	units := func(amount budget.Amount) string { return fmt.Sprintf("%.3f", float64(amount)/float64(budget.Unit)) }
	for _, pool := range pools {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d x %s\t%s\t%s\t%s\n", pool.Name, pool.Spec.Kind, units(pool.Spec.Total), pool.Spec.MaxBrokers, units(pool.Spec.Floor), units(pool.Allocated), units(pool.Reclaiming), units(pool.Unallocated))
		if len(pool.Shares) > pool.Spec.MaxBrokers {
			fmt.Fprintf(table, "  more brokers than fleet.brokers states: %d of %d\n", len(pool.Shares), pool.Spec.MaxBrokers)
		}
	}
	fmt.Fprintln(table, "\nbudget\tbroker\tfloor\tshare\tused\trefused\tends in, unless renewed")
	for _, pool := range pools {
		for _, share := range pool.Shares {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%.1f s\n", pool.Name, share.Owner, units(pool.Spec.Floor), units(share.Share), units(share.Used), units(share.Refused), share.ExpiresIn)
		}
	}
	return table.Flush()
}
