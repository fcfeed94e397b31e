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

// decode returns the decoded configuration, and caches it by version.
func (s *Server) decode(doc *rpc.Document) (*fleet.Configuration, error) {
	s.decodeMu.Lock()
	defer s.decodeMu.Unlock()
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

// Read returns the newest committed configuration as the operator sent it. It fails if
// the leader can't confirm which is the newest.
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

// ErrNoConfiguration is returned while no configuration has ever been accepted. The
// operator is sent the text.
var ErrNoConfiguration = errors.New("no configuration was accepted yet")

// Replace replaces the configuration as a whole. It returns once a majority of the
// replicas holds it or a newer one. The error is an *InvalidError if the configuration
// is invalid.
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

// InvalidError says why a configuration is invalid.
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

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error {
	return e.cause
}

type forwardedKey struct{}

// Submit implements rpc.Fleet. The leader replicates the document; other replicas
// forward the call to it, once.
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

// propose appends a command to the log, and returns its encoded result once applied.
func (s *Server) propose(ctx context.Context, c *rpc.Command) ([]byte, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	return s.leadership.Propose(ctx, data)
}

func (s *Server) forwardSubmit(ctx context.Context, d *rpc.Document, leader string) (*rpc.DocumentReply, error) {
	ctx, err := s.forward(ctx, leader)
	if err != nil {
		return nil, err
	}
	return rpc.NewFleetProtobufClient("http://"+leader, s.cfg.Client).Submit(ctx, d)
}

// ErrNoLeader is returned if this replica knows no leader to forward a call to, can't
// confirm that it leads itself, or would have to forward a call a second time.
var ErrNoLeader = errors.New("no leader of the control replicas is known")

const forwardedHeader = "Larchwinch-Forwarded"

// forward returns the context for forwarding a call to the leader. It fails for a call
// that was forwarded before.
func (s *Server) forward(ctx context.Context, leader string) (context.Context, error) {
	if leader == "" || leader == s.replica.address() || ctx.Value(forwardedKey{}) != nil {
		return nil, ErrNoLeader
	}
	h := http.Header{}
	h.Set(forwardedHeader, "1")
	return twirp.WithHTTPRequestHeaders(ctx, h)
}

// Forwarded returns a handler that marks the calls that another replica forwarded.
func Forwarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forwardedHeader) != "" {
			r = r.WithContext(context.WithValue(r.Context(), forwardedKey{}, true))
		}
		next.ServeHTTP(w, r)
	})
}

// Newest implements rpc.Fleet. It returns the newest committed configuration, empty if
// there is none, and fails if the leader can't confirm that.
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
