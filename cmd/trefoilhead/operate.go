package main

import (
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	"trefoilhead.org/trefoilhead/internal/configurer"
	"trefoilhead.org/trefoilhead/internal/declarer"
	"trefoilhead.org/trefoilhead/internal/dialer"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1"
	"trefoilhead.org/trefoilhead/pkg/wire/trefoilheadv1/trefoilheadv1connect"
)

// serverFlags holds the flags of all commands that call an entry process.
type serverFlags struct {
	url string
	key string
}

func (f *serverFlags) addFlags(fs *flag.FlagSet) {
	fs.StringVar(&f.url, "server", "http://127.0.0.1:7002", "control address of an entry process")
	fs.StringVar(&f.key, "key", "", "operators' key")
}

func (f *serverFlags) newClient() trefoilheadv1connect.OperatorClient {
	return dialer.NewOperatorClient(http.DefaultClient, f.url, f.key)
}

func newApplyCommand() *ffcli.Command {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	var a applyOptions
	a.addFlags(fs)
	fs.StringVar(&a.path, "f", "", "file or folder of declarations")
	fs.BoolVar(&a.dryRun, "dry-run", false, "print the change without making it")
	fs.DurationVar(&a.waitTimeout, "wait", 0, "wait up to this time until the change is in force everywhere")
	fs.StringVar(&a.requestID, "request-id", "", "id of this call; a repeated call with the same id returns the outcome of the first")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "trefoilhead apply -f PATH [flags]", ShortHelp: "make the declared state match the files",
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, _ []string) error { return a.applyFiles(ctx, os.Stdout) },
	}
}

// applyOptions holds the flags of the apply and restore commands.
type applyOptions struct {
	serverFlags
	path        string
	dryRun      bool
	waitTimeout time.Duration
	requestID   string
}

func (a *applyOptions) applyFiles(ctx context.Context, w io.Writer) error {
	declared, err := declarer.Load(a.path)
	if err != nil {
		return err
	}
	return a.applyObjects(ctx, w, declared.Objects())
}

// applyObjects makes the declared objects match want. With dryRun it only prints the
// difference.
func (a *applyOptions) applyObjects(ctx context.Context, w io.Writer, want []declarer.Object) error {
	have, err := a.newClient().Get(ctx, connect.NewRequest(&trefoilheadv1.GetRequest{}))
	if err != nil {
		return err
	}
	diff := declarer.ComputeDiff(decodeObjects(have.Msg.GetObjects()), want)
	req := a.buildRequest(w, diff, have.Msg.GetRevision())
	if len(req.Put) == 0 && len(req.Remove) == 0 {
		_, _ = fmt.Fprintf(w, "nothing to change at revision %d\n", have.Msg.GetRevision())
		return nil
	}
	if a.dryRun {
		return nil
	}
	resp, err := a.newClient().Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "revision %d accepted\n", resp.Msg.GetRevision())
	if a.waitTimeout == 0 {
		return nil
	}
	return a.waitUntilApplied(ctx, w, resp.Msg.GetRevision())
}

func decodeObjects(objects []*trefoilheadv1.Object) []declarer.Object {
	var out []declarer.Object
	for _, o := range objects {
		out = append(out, declarer.Object{Key: declarer.Key{Kind: o.GetKind(), ID: o.GetId()}, Body: o.GetBody()})
	}
	return out
}

// buildRequest prints the difference and returns the request that applies it.
func (a *applyOptions) buildRequest(w io.Writer, diff declarer.Diff, revision uint64) *trefoilheadv1.ApplyRequest {
	id := a.requestID
	if id == "" {
		id = rand.Text()
	}
	req := &trefoilheadv1.ApplyRequest{RequestId: id, ExpectedRevision: revision}
	for _, o := range diff.Put {
		_, _ = fmt.Fprintf(w, "put    %s %s: %s\n", o.Kind, o.ID, o.Body)
		req.Put = append(req.Put, &trefoilheadv1.Object{Kind: o.Kind, Id: o.ID, Body: o.Body})
	}
	for _, k := range diff.Remove {
		_, _ = fmt.Fprintf(w, "remove %s %s\n", k.Kind, k.ID)
		req.Remove = append(req.Remove, &trefoilheadv1.ObjectRef{Kind: k.Kind, Id: k.ID})
	}
	return req
}

// waitUntilApplied waits until every process has applied a revision. If that takes
// longer than waitTimeout, the error lists the processes that have not.
func (a *applyOptions) waitUntilApplied(ctx context.Context, w io.Writer, revision uint64) error {
	const pollInterval = 200 * time.Millisecond
	deadline := time.Now().Add(a.waitTimeout)
	for {
		status, err := a.newClient().Status(ctx, connect.NewRequest(&trefoilheadv1.StatusRequest{}))
		if err != nil {
			return err
		}
		var behind []string
		for _, p := range status.Msg.GetPeers() {
			if p.GetRevision() < revision {
				behind = append(behind, fmt.Sprintf("%s (revision %d)", p.GetVmId(), p.GetRevision()))
			}
		}
		if len(behind) == 0 {
			_, _ = fmt.Fprintf(w, "in force at all %d processes\n", len(status.Msg.GetPeers()))
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("revision %d is not in force at %v", revision, behind)
		}
		time.Sleep(pollInterval)
	}
}

func newGetCommand() *ffcli.Command {
	fs := flag.NewFlagSet("get", flag.ContinueOnError)
	var f serverFlags
	f.addFlags(fs)
	return &ffcli.Command{
		Name: "get", ShortUsage: "trefoilhead get [service|team|group|status] [ID]", ShortHelp: "show the declared state, the groups or the processes",
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, args []string) error { return printState(ctx, os.Stdout, &f, args) },
	}
}

func printState(ctx context.Context, w io.Writer, f *serverFlags, args []string) error {
	args = append(args, "", "")
	switch args[0] {
	case "group":
		return printGroups(ctx, w, f, args[1])
	case "status":
		return printStatus(ctx, w, f)
	}
	resp, err := f.newClient().Get(ctx, connect.NewRequest(&trefoilheadv1.GetRequest{Kind: args[0], Id: args[1]}))
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "revision %d, cut off: %t\n", resp.Msg.GetRevision(), resp.Msg.GetCutOff())
	for _, o := range resp.Msg.GetObjects() {
		_, _ = fmt.Fprintf(w, "%s %s: %s\n", o.GetKind(), o.GetId(), o.GetBody())
	}
	for _, d := range resp.Msg.GetDrains() {
		_, _ = fmt.Fprintf(w, "drained %s %s\n", d.GetKind(), d.GetId())
	}
	return nil
}

func printGroups(ctx context.Context, w io.Writer, f *serverFlags, id string) error {
	resp, err := f.newClient().ListGroups(ctx, connect.NewRequest(&trefoilheadv1.ListGroupsRequest{}))
	if err != nil {
		return err
	}
	for _, g := range resp.Msg.GetGroups() {
		if id == "" || id == g.GetId() {
			_, _ = fmt.Fprintf(w, "%s  %s  owner %s  members %v  %s\n", g.GetId(), g.GetState(), g.GetOwner(), g.GetMembers(), g.GetReason())
		}
	}
	for _, d := range resp.Msg.GetUnreachable() {
		_, _ = fmt.Fprintf(w, "failure domain %s does not answer\n", d)
	}
	for _, s := range resp.Msg.GetStranded() {
		_, _ = fmt.Fprintf(w, "stranded %s  %d accelerators  %s\n", s.GetVmId(), s.GetAccelerators(), s.GetReason())
	}
	return nil
}

func printStatus(ctx context.Context, w io.Writer, f *serverFlags) error {
	resp, err := f.newClient().Status(ctx, connect.NewRequest(&trefoilheadv1.StatusRequest{}))
	if err != nil {
		return err
	}
	m := resp.Msg
	_, _ = fmt.Fprintf(w, "%s in %s: revision %d, log leader %q, placement authority %q, cut off: %t\n",
		m.GetVmId(), m.GetFailureDomain(), m.GetRevision(), m.GetLeader(), m.GetPlacementAuthority(), m.GetCutOff())
	for _, p := range m.GetPeers() {
		state := fmt.Sprintf("revision %d", p.GetRevision())
		if p.GetAgeMs() == ^uint64(0) {
			state = "does not answer"
		}
		_, _ = fmt.Fprintf(w, "  %s in %s: %s\n", p.GetVmId(), p.GetFailureDomain(), state)
	}
	return nil
}

func newDrainCommand(name string, drained bool) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	var f serverFlags
	f.addFlags(fs)
	requestID := fs.String("request-id", "", "id of this call; a repeated call with the same id returns the outcome of the first")
	return &ffcli.Command{
		Name: name, ShortUsage: "trefoilhead " + name + " failure_domain|entry_vm|backend_server ID",
		ShortHelp: name + " a failure domain, entry VM or backend server", FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return flag.ErrHelp
			}
			return sendDrain(ctx, &f, *requestID, args[0], args[1], drained)
		},
	}
}

func sendDrain(ctx context.Context, f *serverFlags, requestID, kind, id string, drained bool) error {
	if requestID == "" {
		requestID = rand.Text()
	}
	have, err := f.newClient().Get(ctx, connect.NewRequest(&trefoilheadv1.GetRequest{}))
	if err != nil {
		return err
	}
	resp, err := f.newClient().SetDrain(ctx, connect.NewRequest(&trefoilheadv1.SetDrainRequest{
		RequestId: requestID, ExpectedRevision: have.Msg.GetRevision(), Drained: drained,
		Target: &trefoilheadv1.Drain{Kind: kind, Id: id},
	}))
	if err != nil {
		return err
	}
	_, _ = fmt.Printf("revision %d accepted\n", resp.Msg.GetRevision())
	return nil
}

func newVoterCommand() *ffcli.Command {
	fs := flag.NewFlagSet("voter", flag.ContinueOnError)
	var f serverFlags
	f.addFlags(fs)
	return &ffcli.Command{
		Name: "voter", ShortUsage: "trefoilhead voter add|remove VM", ShortHelp: "change the voters of the control logs",
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 || args[0] != "add" && args[0] != "remove" {
				return flag.ErrHelp
			}
			resp, err := f.newClient().ChangeVoter(ctx, connect.NewRequest(&trefoilheadv1.ChangeVoterRequest{
				VmId: args[1], Remove: args[0] == "remove",
			}))
			if err != nil {
				return err
			}
			_, _ = fmt.Printf("voters: %v\n", resp.Msg.GetVoters())
			return nil
		},
	}
}

func newDumpCommand() *ffcli.Command {
	fs := flag.NewFlagSet("dump", flag.ContinueOnError)
	var f serverFlags
	f.addFlags(fs)
	return &ffcli.Command{
		Name: "dump", ShortUsage: "trefoilhead dump [flags]", ShortHelp: "print the state of an entry process",
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, _ []string) error { return printDump(ctx, os.Stdout, &f) },
	}
}

func printDump(ctx context.Context, w io.Writer, f *serverFlags) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/dump", nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the process responded with status %s", resp.Status)
	}
	_, err = io.Copy(w, resp.Body)
	return err
}

func newValidateCommand() *ffcli.Command {
	fs := flag.NewFlagSet("validate", flag.ContinueOnError)
	settings := fs.String("settings", "", "settings file to check")
	declarations := fs.String("f", "", "file or folder of declarations to check")
	return &ffcli.Command{
		Name: "validate", ShortUsage: "trefoilhead validate [-settings FILE] [-f PATH]",
		ShortHelp: "check settings and declarations without a server", FlagSet: fs, Options: flagOptions(fs),
		Exec: func(context.Context, []string) error {
			var errs []error
			if *settings != "" {
				_, err := configurer.LoadEntrySettings(*settings)
				errs = append(errs, err)
			}
			if *declarations != "" {
				_, err := declarer.Load(*declarations)
				errs = append(errs, err)
			}
			return errors.Join(errs...)
		},
	}
}
