package fleetcontrol

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/eventlog"
	"github.com/larchwinch/larchwinch/pkg/fleet"
	"github.com/larchwinch/larchwinch/pkg/rpc"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
)

// decode returns the configuration that stands; it is read once a version.
// Only lead calls it.
func (s *Server) decode(doc *rpc.Document) (*fleet.Configuration, error) {
	if s.decodedConfig != nil && s.decodedConfig.Version == doc.GetVersion() {
		return s.decodedConfig, nil
	}
	content, err := fleet.Unpack(doc.GetContent())
	if err != nil {
		return nil, err
	}
	cfg, err := s.cfg.Decoder.Decode(content)
	if err != nil {
		return nil, err
	}
	s.decodedConfig = cfg
	return cfg, nil
}

// Read returns the newest configuration as the operator sent it; an error if
// that can't be told.
func (s *Server) Read(ctx context.Context) ([]byte, error) {
	doc, err := s.Newest(ctx, &rpc.Empty{})
	if err != nil {
		return nil, err
	}
	if doc.GetVersion() == 0 {
		return nil, ErrNoConfiguration
	}
	return fleet.Unpack(doc.GetContent())
}

// ErrNoConfiguration says that no configuration was ever accepted.
var ErrNoConfiguration = errors.New("no configuration was accepted yet")

// Replace puts a whole configuration in force, and returns once a majority
// holds it, or a newer one. Its error is an *InvalidError if it was refused.
func (s *Server) Replace(ctx context.Context, content []byte) error {
	cfg, err := s.cfg.Decoder.Decode(content)
	if err == nil {
		err = cfg.Validate()
	}
	if err != nil {
		s.cfg.Log.Event(eventlog.ConfigRefused, eventlog.Err(err))
		return &InvalidError{
			cause: err,
		}
	}
	packed, err := fleet.Pack(content)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	reply, err := s.Submit(ctx, &rpc.Document{
		Version: cfg.Version,
		Content: packed,
	})
	if err != nil {
		s.cfg.Log.Event(eventlog.ConfigFailed, eventlog.Int("version", int64(cfg.Version)), eventlog.Err(err))
		return err
	}
	s.cfg.Log.Event(eventlog.ConfigAccepted, eventlog.Int("version", int64(cfg.Version)),
		eventlog.Int("stands", int64(reply.GetVersion())))
	return nil
}

// InvalidError says why a configuration was refused.
type InvalidError struct {
	cause error
}

// Error implements error.
func (e *InvalidError) Error() string {
	if e.cause == nil {
		return "invalid configuration"
	}
	return "invalid configuration: " + e.cause.Error()
}

// Unwrap returns the breach.
func (e *InvalidError) Unwrap() error {
	return e.cause
}

type forwardedKey struct{}

// Submit implements rpc.Fleet: the leader replicates, others pass on once.
func (s *Server) Submit(ctx context.Context, d *rpc.Document) (*rpc.DocumentReply, error) {
	machine, _, leader := s.replica.Leads(ctx)
	if machine == nil {
		return s.forwardSubmit(ctx, d, leader)
	}
	if held := machine.Document().GetVersion(); held >= d.GetVersion() {
		return &rpc.DocumentReply{
			Version: held,
		}, nil
	}
	answer, err := s.propose(ctx, &rpc.Command{
		UnixMs: s.cfg.Timer.Wall().UnixMilli(),
		Kind: &rpc.Command_Document{
			Document: d,
		},
	})
	if err != nil {
		return nil, err
	}
	reply := &rpc.CommandReply{}
	if err := proto.Unmarshal(answer, reply); err != nil {
		return nil, errors.Wrap(err, "decode reply")
	}
	return reply.GetDocument(), nil
}

// propose puts a command into the log, and returns its encoded answer.
func (s *Server) propose(ctx context.Context, c *rpc.Command) ([]byte, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	node, _ := s.replica.current()
	if node == nil {
		return nil, errNotOpen
	}
	return node.Propose(ctx, data)
}

func (s *Server) forwardSubmit(ctx context.Context, d *rpc.Document, leader string) (*rpc.DocumentReply, error) {
	ctx, err := s.forward(ctx, leader)
	if err != nil {
		return nil, err
	}
	return rpc.NewFleetProtobufClient("http://"+leader, s.cfg.Client).Submit(ctx, d)
}

// ErrNoLeader says that no leader of the control replicas is known here.
var ErrNoLeader = errors.New("no leader of the control replicas is known")

const forwardedHeader = "Larchwinch-Forwarded"

// forward returns the context of a call that is passed on to the leader, once.
func (s *Server) forward(ctx context.Context, leader string) (context.Context, error) {
	if leader == "" || leader == s.replica.address() || ctx.Value(forwardedKey{}) != nil {
		return nil, ErrNoLeader
	}
	h := http.Header{}
	h.Set(forwardedHeader, "1")
	return twirp.WithHTTPRequestHeaders(ctx, h)
}

// Forwarded marks the calls that were passed on already.
func Forwarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forwardedHeader) != "" {
			r = r.WithContext(context.WithValue(r.Context(), forwardedKey{}, true))
		}
		next.ServeHTTP(w, r)
	})
}

// Newest implements rpc.Fleet: it returns the configuration that a majority
// holds, or an error if that can't be told.
func (s *Server) Newest(ctx context.Context, _ *rpc.Empty) (*rpc.Document, error) {
	machine, _, leader := s.replica.Leads(ctx)
	if machine == nil {
		fctx, err := s.forward(ctx, leader)
		if err != nil {
			return nil, err
		}
		return rpc.NewFleetProtobufClient("http://"+leader, s.cfg.Client).Newest(fctx, &rpc.Empty{})
	}
	doc := machine.Document()
	if m, _, _ := s.replica.Leads(ctx); m != machine {
		return nil, ErrNoLeader
	}
	if doc == nil {
		return &rpc.Document{}, nil
	}
	return doc, nil
}
