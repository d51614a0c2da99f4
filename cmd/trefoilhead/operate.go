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

// remote holds the flags of every command that calls an entry process.
type remote struct {
	url string
	key string
}

func (r *remote) register(fs *flag.FlagSet) {
	fs.StringVar(&r.url, "server", "http://127.0.0.1:7002", "control address of an entry process")
	fs.StringVar(&r.key, "key", "", "operators' key")
}

func (r *remote) client() trefoilheadv1connect.OperatorClient {
	return dialer.NewOperatorClient(http.DefaultClient, r.url, r.key)
}

func newApply() *ffcli.Command {
	fs := flag.NewFlagSet("apply", flag.ContinueOnError)
	var a applier
	a.register(fs)
	fs.StringVar(&a.path, "f", "", "file or folder of declarations")
	fs.BoolVar(&a.dryRun, "dry-run", false, "print the change without making it")
	fs.DurationVar(&a.wait, "wait", 0, "wait up to this time until the change is in force everywhere")
	fs.StringVar(&a.requestID, "request-id", "", "id of this call; the same one resent gives the first outcome")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "trefoilhead apply -f PATH [flags]", ShortHelp: "make the declared state that of the files",
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, _ []string) error { return a.run(ctx, os.Stdout) },
	}
}

// applier runs the apply command.
type applier struct {
	remote
	path      string
	dryRun    bool
	wait      time.Duration
	requestID string
}

func (a *applier) run(ctx context.Context, w io.Writer) error {
	declared, err := declarer.Load(a.path)
	if err != nil {
		return err
	}
	return a.change(ctx, w, declared.Objects())
}

// change makes the declared objects those given.
func (a *applier) change(ctx context.Context, w io.Writer, want []declarer.Object) error {
	have, err := a.client().Get(ctx, connect.NewRequest(&trefoilheadv1.GetRequest{}))
	if err != nil {
		return err
	}
	diff := declarer.ComputeDiff(fromWire(have.Msg.GetObjects()), want)
	req := a.request(w, diff, have.Msg.GetRevision())
	if len(req.Put) == 0 && len(req.Remove) == 0 {
		_, _ = fmt.Fprintf(w, "nothing to change at revision %d\n", have.Msg.GetRevision())
		return nil
	}
	if a.dryRun {
		return nil
	}
	resp, err := a.client().Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "revision %d accepted\n", resp.Msg.GetRevision())
	if a.wait == 0 {
		return nil
	}
	return a.waitForAll(ctx, w, resp.Msg.GetRevision())
}

func fromWire(objects []*trefoilheadv1.Object) []declarer.Object {
	var out []declarer.Object
	for _, o := range objects {
		out = append(out, declarer.Object{Key: declarer.Key{Kind: o.GetKind(), ID: o.GetId()}, Body: o.GetBody()})
	}
	return out
}

// request prints the change and returns the call that makes it.
func (a *applier) request(w io.Writer, diff declarer.Diff, revision uint64) *trefoilheadv1.ApplyRequest {
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

// waitForAll waits until every process has the revision, and names those that
// do not.
func (a *applier) waitForAll(ctx context.Context, w io.Writer, revision uint64) error {
	const step = 200 * time.Millisecond
	end := time.Now().Add(a.wait)
	for {
		status, err := a.client().Status(ctx, connect.NewRequest(&trefoilheadv1.StatusRequest{}))
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
		if time.Now().After(end) {
			return fmt.Errorf("revision %d is not in force at %v", revision, behind)
		}
		time.Sleep(step)
	}
}

func newGet() *ffcli.Command {
	fs := flag.NewFlagSet("get", flag.ContinueOnError)
	var r remote
	r.register(fs)
	return &ffcli.Command{
		Name: "get", ShortUsage: "trefoilhead get [service|team|group|status] [ID]", ShortHelp: "show the declared state, the groups or the processes",
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, args []string) error { return get(ctx, os.Stdout, &r, args) },
	}
}

func get(ctx context.Context, w io.Writer, r *remote, args []string) error {
	args = append(args, "", "")
	switch args[0] {
	case "group":
		return getGroups(ctx, w, r, args[1])
	case "status":
		return getStatus(ctx, w, r)
	}
	resp, err := r.client().Get(ctx, connect.NewRequest(&trefoilheadv1.GetRequest{Kind: args[0], Id: args[1]}))
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

func getGroups(ctx context.Context, w io.Writer, r *remote, id string) error {
	resp, err := r.client().ListGroups(ctx, connect.NewRequest(&trefoilheadv1.ListGroupsRequest{}))
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

func getStatus(ctx context.Context, w io.Writer, r *remote) error {
	resp, err := r.client().Status(ctx, connect.NewRequest(&trefoilheadv1.StatusRequest{}))
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

func newDrain(name string, drained bool) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	var r remote
	r.register(fs)
	requestID := fs.String("request-id", "", "id of this call; the same one resent gives the first outcome")
	return &ffcli.Command{
		Name: name, ShortUsage: "trefoilhead " + name + " failure_domain|entry_vm|backend_server ID",
		ShortHelp: name + " a failure domain, entry VM or backend server", FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return flag.ErrHelp
			}
			return setDrain(ctx, &r, *requestID, args[0], args[1], drained)
		},
	}
}

func setDrain(ctx context.Context, r *remote, requestID, kind, id string, drained bool) error {
	if requestID == "" {
		requestID = rand.Text()
	}
	have, err := r.client().Get(ctx, connect.NewRequest(&trefoilheadv1.GetRequest{}))
	if err != nil {
		return err
	}
	resp, err := r.client().SetDrain(ctx, connect.NewRequest(&trefoilheadv1.SetDrainRequest{
		RequestId: requestID, ExpectedRevision: have.Msg.GetRevision(), Drained: drained,
		Target: &trefoilheadv1.Drain{Kind: kind, Id: id},
	}))
	if err != nil {
		return err
	}
	_, _ = fmt.Printf("revision %d accepted\n", resp.Msg.GetRevision())
	return nil
}

func newVoter() *ffcli.Command {
	fs := flag.NewFlagSet("voter", flag.ContinueOnError)
	var r remote
	r.register(fs)
	return &ffcli.Command{
		Name: "voter", ShortUsage: "trefoilhead voter add|remove VM", ShortHelp: "change the voters of the control logs",
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 || args[0] != "add" && args[0] != "remove" {
				return flag.ErrHelp
			}
			resp, err := r.client().ChangeVoter(ctx, connect.NewRequest(&trefoilheadv1.ChangeVoterRequest{
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

func newDump() *ffcli.Command {
	fs := flag.NewFlagSet("dump", flag.ContinueOnError)
	var r remote
	r.register(fs)
	return &ffcli.Command{
		Name: "dump", ShortUsage: "trefoilhead dump [flags]", ShortHelp: "print the state of an entry process",
		FlagSet: fs, Options: flagOptions(fs),
		Exec: func(ctx context.Context, _ []string) error { return dump(ctx, os.Stdout, &r) },
	}
}

func dump(ctx context.Context, w io.Writer, r *remote) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url+"/dump", nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+r.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the process answered %s", resp.Status)
	}
	_, err = io.Copy(w, resp.Body)
	return err
}

func newValidate() *ffcli.Command {
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
