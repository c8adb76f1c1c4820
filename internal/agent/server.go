package agent

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"milletmast/internal/control/agentpb"
)

// readOnlyMethods are the methods that RoleRead may call; all others need RoleOperate.
var readOnlyMethods = map[string]bool{"List": true, "Config": true, "Events": true}

// Roles, as organizational units of a client's certificate.
const (
	RoleRead    = "read"
	RoleOperate = "operate"
)

type callerKey struct{}

// authorize checks a call against the roles in the caller's certificate. On a Unix socket, access is
// restricted by the mode of the socket file instead.
func (a *Agent) authorize(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	who := "local"
	if a.tls != nil {
		name, roles, err := identity(ctx)
		if err != nil {
			return nil, status.Error(codes.Unauthenticated, err.Error())
		}
		method := info.FullMethod[strings.LastIndexByte(info.FullMethod, '/')+1:]
		if !mayCall(roles, method) {
			a.audit(name, "was denied "+method)
			return nil, status.Errorf(codes.PermissionDenied, "%s may not call %s: its certificate has no such role", name, method)
		}
		who = name
	}
	return next(context.WithValue(ctx, callerKey{}, who), req)
}

// mayCall reports whether one of the roles may call a method.
func mayCall(roles map[string]bool, method string) bool {
	return roles[RoleOperate] || roles[RoleRead] && readOnlyMethods[method]
}

// identity returns the name and the roles in the certificate of the caller.
func identity(ctx context.Context) (name string, roles map[string]bool, err error) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return "", nil, errors.New("no peer")
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return "", nil, errors.New("no verified certificate")
	}
	subject := info.State.VerifiedChains[0][0].Subject
	roles = map[string]bool{}
	for _, r := range subject.OrganizationalUnit {
		roles[r] = true
	}
	return subject.CommonName, roles, nil
}

func callerName(ctx context.Context) string {
	if name, ok := ctx.Value(callerKey{}).(string); ok {
		return name
	}
	return "unknown"
}

func statusError(err error) error {
	if errors.Is(err, ErrFenced) {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return status.Error(codes.Internal, err.Error())
}

func (a *Agent) instance(name string) (*managedInstance, error) {
	if m := a.byName[name]; m != nil {
		return m, nil
	}
	return nil, status.Errorf(codes.NotFound, "agent %s has no instance %q", a.cfg.Name, name)
}

func ledgerProto(l Ledger) *agentpb.Ledger {
	return &agentpb.Ledger{
		Rollout: l.Rollout, Epoch: l.Epoch, Target: l.Target, Command: l.Command, Ended: l.Ended, Plan: l.Plan,
	}
}

// List returns the instances with their latest reported status. With fresh set, it polls them first.
func (a *Agent) List(ctx context.Context, req *agentpb.ListRequest) (*agentpb.ListReply, error) {
	out := &agentpb.ListReply{Agent: a.cfg.Name, Site: a.cfg.Site}
	list := a.instances
	if req.Name != "" {
		m, err := a.instance(req.Name)
		if err != nil {
			return nil, err
		}
		list = []*managedInstance{m}
	}
	if req.Fresh {
		var all sync.WaitGroup
		slots := make(chan struct{}, maxConcurrentPolls)
		for _, m := range list {
			slots <- struct{}{}
			all.Go(func() {
				m.pollStatus(ctx)
				<-slots
			})
		}
		all.Wait()
	}
	for _, m := range list {
		out.Members = append(out.Members, m.toProto())
	}
	l, err := a.store.Ledger()
	if err != nil {
		return nil, statusError(err)
	}
	out.Ledger = ledgerProto(l)
	return out, nil
}

// Claim makes a tool the owner of the ledger. Only the owner may change instances.
func (a *Agent) Claim(ctx context.Context, req *agentpb.ClaimRequest) (*agentpb.ClaimReply, error) {
	l, err := a.store.Claim(req.Rollout, req.Target, req.Plan, req.Epoch)
	if err != nil {
		return nil, statusError(err)
	}
	a.audit(callerName(ctx), fmt.Sprintf("claimed rollout %s, epoch %d, target %s", l.Rollout, l.Epoch, shortHash(l.Target)))
	return &agentpb.ClaimReply{Ledger: ledgerProto(l)}, nil
}

// Command stores a command for the tool that owns the rollout.
func (a *Agent) Command(ctx context.Context, req *agentpb.CommandRequest) (*agentpb.ClaimReply, error) {
	// The tool appends a colon and a suffix that distinguishes the command from earlier ones of the same kind.
	switch kind, _, _ := strings.Cut(req.Command, ":"); kind {
	case "pause", "resume", "abort", "rollback":
	default:
		return nil, status.Errorf(codes.InvalidArgument, "%q is no command", req.Command)
	}
	l, err := a.store.Command(req.Rollout, req.Command)
	if err != nil {
		return nil, statusError(err)
	}
	a.audit(callerName(ctx), req.Command+" of rollout "+req.Rollout)
	return &agentpb.ClaimReply{Ledger: ledgerProto(l)}, nil
}

// End ends a rollout.
func (a *Agent) End(ctx context.Context, req *agentpb.EndRequest) (*agentpb.ClaimReply, error) {
	l, err := a.store.End(req.Rollout, req.Epoch, req.Result)
	if err != nil {
		return nil, statusError(err)
	}
	a.audit(callerName(ctx), "rollout "+req.Rollout+" ended: "+req.Result)
	return &agentpb.ClaimReply{Ledger: ledgerProto(l)}, nil
}

// Change has an instance apply a configuration, for the tool that owns the ledger.
func (a *Agent) Change(ctx context.Context, req *agentpb.ChangeRequest) (*agentpb.ChangeReply, error) {
	m, err := a.instance(req.Name)
	if err != nil {
		return nil, err
	}
	if err := a.store.CheckEpoch(req.Rollout, req.Epoch); err != nil {
		return nil, statusError(err)
	}
	text := req.Config
	if len(text) == 0 {
		if text, err = a.store.Config(req.Hash); err != nil || len(text) == 0 {
			return nil, status.Errorf(codes.NotFound, "agent %s holds no configuration %s", a.cfg.Name, shortHash(req.Hash))
		}
	}
	a.audit(callerName(ctx), fmt.Sprintf("changes %s, rollout %s", req.Name, req.Rollout))
	return a.changeReply(m, func() (string, error) { return m.applyChange(ctx, text, req.Rollout) })
}

// changeReply calls change, which returns the reason of a refusal, and returns the outcome and the instance's status.
func (a *Agent) changeReply(m *managedInstance, change func() (string, error)) (*agentpb.ChangeReply, error) {
	refused, err := change()
	if err != nil {
		return nil, status.Errorf(codes.Unavailable, "%s: %v", m.spec.Name, err)
	}
	return &agentpb.ChangeReply{Member: m.toProto(), Refused: refused}, nil
}

// desiredConfig returns an instance and its desired configuration.
func (a *Agent) desiredConfig(name string) (m *managedInstance, d Desired, err error) {
	if m, err = a.instance(name); err != nil {
		return nil, d, err
	}
	if d, err = a.store.Desired(m.spec.Name); err != nil {
		return nil, d, statusError(err)
	}
	return m, d, nil
}

// Config returns the desired configuration of an instance, or the one with a hash.
func (a *Agent) Config(_ context.Context, req *agentpb.ConfigRequest) (*agentpb.ConfigReply, error) {
	hash := req.Hash
	if hash == "" {
		_, d, err := a.desiredConfig(req.Name)
		if err != nil {
			return nil, err
		}
		hash = d.Hash
	}
	text, err := a.store.Config(hash)
	if err != nil {
		return nil, statusError(err)
	}
	if len(text) == 0 {
		return nil, status.Errorf(codes.NotFound, "agent %s holds no configuration %q", a.cfg.Name, shortHash(hash))
	}
	return &agentpb.ConfigReply{Config: text, Hash: hash}, nil
}

// Drain makes an instance unready, or ready again.
func (a *Agent) Drain(ctx context.Context, req *agentpb.MemberDrainRequest) (*agentpb.ChangeReply, error) {
	m, err := a.instance(req.Name)
	if err != nil {
		return nil, err
	}
	a.audit(callerName(ctx), fmt.Sprintf("drain of %s: %v", req.Name, req.Drain))
	return a.changeReply(m, func() (string, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		st, err := m.client.Drain(ctx, req.Drain)
		m.recordStatus(st, err)
		return "", err
	})
}

// Pin pins the degradation level of a pool at an instance, or releases the pin.
func (a *Agent) Pin(ctx context.Context, req *agentpb.MemberPinRequest) (*agentpb.ChangeReply, error) {
	m, err := a.instance(req.Name)
	if err != nil {
		return nil, err
	}
	pin := req.GetPin()
	ttl := time.Duration(pin.GetForMs()) * time.Millisecond
	if pin.GetLevel() == "" {
		a.audit(callerName(ctx), fmt.Sprintf("release of the level of pool %s at %s", pin.GetPool(), req.Name))
	} else {
		a.audit(callerName(ctx), fmt.Sprintf("pin of level %s of pool %s at %s for %v", pin.GetLevel(), pin.GetPool(), req.Name, ttl))
	}
	return a.changeReply(m, func() (string, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		reply, err := m.client.Pin(ctx, pin.GetPool(), pin.GetLevel(), ttl)
		m.recordStatus(reply.GetStatus(), err)
		return reply.GetRefused(), err
	})
}

// Reload has an instance apply its desired configuration again.
func (a *Agent) Reload(ctx context.Context, req *agentpb.MemberRequest) (*agentpb.ChangeReply, error) {
	m, d, err := a.desiredConfig(req.Name)
	if err != nil {
		return nil, err
	}
	text, err := a.store.Config(d.Hash)
	if err != nil || len(text) == 0 {
		return nil, status.Errorf(codes.FailedPrecondition, "no configuration is held for %s", req.Name)
	}
	a.audit(callerName(ctx), "reload of "+req.Name)
	return a.changeReply(m, func() (string, error) {
		m.changeMu.Lock()
		defer m.changeMu.Unlock()
		reply, err := m.apply(ctx, text)
		return reply.GetRefused(), err
	})
}

// Events returns events of the audit log.
func (a *Agent) Events(_ context.Context, req *agentpb.EventsRequest) (*agentpb.EventsReply, error) {
	limit := int(req.Most)
	if limit < 1 || limit > 1000 {
		limit = 1000
	}
	list, err := a.store.Events(req.After, limit)
	if err != nil {
		return nil, statusError(err)
	}
	out := &agentpb.EventsReply{}
	for _, e := range list {
		out.Entries = append(out.Entries, &agentpb.Entry{Number: e.Number, AtMs: e.At.UnixMilli(), Who: e.Who, What: e.What})
	}
	return out, nil
}
