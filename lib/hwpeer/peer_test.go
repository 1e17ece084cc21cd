package hwpeer_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hickorywick/hickorywick/lib/hwmember"
	"github.com/hickorywick/hickorywick/lib/hwpeer"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwslot"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// reportServer answers reports with a small grant and implements no other method.
type reportServer struct {
	hwpeerpb.DRPCPeerCommandsUnimplementedServer
	hwpeerpb.DRPCPeerQueriesUnimplementedServer
}

func (*reportServer) Report(_ context.Context, in *hwpeerpb.ReportRequest) (*hwpeerpb.ReportReply, error) {
	return hwpeer.GrantToWire(hwslot.Grant{
		Sequence: in.GetSequence(),
		Lease:    2 * time.Second,
		Counters: counters(4),
	}), nil
}

func counters(count int) []hwslot.CounterRow {
	var rows []hwslot.CounterRow
	for a := range count {
		rows = append(rows, hwslot.CounterRow{
			Account:     fmt.Sprintf("account-%03d", a),
			Counter:     123456.5,
			TargetSlots: 7,
		})
	}
	return rows
}

func report(accounts, upstreams int) hwslot.Report {
	r := hwslot.Report{
		Instance: "router-123",
		Boot:     1 << 60,
		Pool:     "pool-12",
		Sequence: 1 << 20,
	}
	for a := range accounts {
		r.Accounts = append(r.Accounts, hwslot.AccountRow{
			Account: fmt.Sprintf("account-%03d", a),
			Waiting: 20,
			Running: 7,
			Service: 1234567.5,
			Pending: 321,
		})
	}
	for u := range upstreams {
		r.Upstreams = append(r.Upstreams, hwslot.UpstreamRow{
			Upstream: fmt.Sprintf("10.20.30.%d:8000", u),
			Held:     5,
			InUse:    4,
		})
	}
	return r
}

func serve(t testing.TB, security hwpeer.Security) (string, *[]string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var refused []string
	done := hwtask.Start(ctx, func(ctx context.Context) error {
		return hwpeer.Serve(ctx, listener, security, &reportServer{}, &hwpeer.Traffic{}, func(method string) { refused = append(refused, method) })
	})
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	return listener.Addr().String(), &refused
}

func TestCallsWithoutSharedKeyAreRefused(t *testing.T) {
	address, refused := serve(t, hwpeer.Security{
		SharedKey: "right",
	})
	for _, c := range []struct {
		key  string
		want bool
	}{
		{
			key:  "right",
			want: true,
		},
		{
			key:  "wrong",
			want: false,
		},
		{
			key:  "",
			want: false,
		},
	} {
		client := hwpeer.NewClient(hwpeer.Security{
			SharedKey: c.key,
		}, time.Second, nil, &hwpeer.Traffic{})
		_, err := client.Report(context.Background(), address, hwpeer.ReportToWire(report(1, 1)))
		assert.Equal(t, c.want, err == nil, "key %q", c.key)
		require.NoError(t, client.Close())
	}
	assert.Len(t, *refused, 2)
}

// TestCallToUnresponsivePeerTimesOut calls a listener that accepts connections and never responds.
func TestCallToUnresponsivePeerTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	client := hwpeer.NewClient(hwpeer.Security{}, 50*time.Millisecond, nil, &hwpeer.Traffic{})
	_, err = client.Report(context.Background(), listener.Addr().String(), hwpeer.ReportToWire(report(1, 1)))
	require.Error(t, err)
}

func TestWireConversionRoundTrip(t *testing.T) {
	r := report(3, 2)
	got := hwpeer.ReportFromWire(hwpeer.ReportToWire(r))
	assert.Equal(t, r.Accounts, got.Accounts)
	assert.Equal(t, r.Upstreams, got.Upstreams)
	assert.Equal(t, r.Sequence, got.Sequence)
	rows := []hwmember.Row{{
		Instance:    "a",
		Address:     "b",
		Zone:        "c",
		Boot:        1,
		Incarnation: 2,
		State:       hwmember.Dead,
	}}
	assert.Equal(t, rows, hwpeer.MembersFromWire(hwpeer.MembersToWire(rows)))
}

func BenchmarkSlopeReportBytes(b *testing.B) {
	for _, accounts := range []int{1, 4, 16, 48} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			message := hwpeer.ReportToWire(report(accounts, 2))
			for range b.N {
				_ = proto.Size(message)
			}
			b.ReportMetric(float64(proto.Size(message)), "message-bytes")
		})
	}
}

// BenchmarkSlopeReportCall measures a whole call over loopback: the processor time of both sides and the bytes on the connection.
func BenchmarkSlopeReportCall(b *testing.B) {
	for _, accounts := range []int{1, 4, 16, 48} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			address, _ := serve(b, hwpeer.Security{
				SharedKey: "key",
			})
			traffic := &hwpeer.Traffic{}
			client := hwpeer.NewClient(hwpeer.Security{
				SharedKey: "key",
			}, time.Second, nil, traffic)
			r := report(accounts, 2)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				reply, err := client.Report(context.Background(), address, hwpeer.ReportToWire(r))
				require.NoError(b, err)
				_ = hwpeer.GrantFromWire(reply)
			}
			b.ReportMetric(float64(traffic.BytesSent.Load()+traffic.BytesReceived.Load())/float64(b.N), "wire-bytes")
			require.NoError(b, client.Close())
		})
	}
}

func BenchmarkSlopeGossipBytes(b *testing.B) {
	for _, rows := range []int{1, 4, 9} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			message := &hwpeerpb.GossipRequest{
				From:            "router-123",
				DocumentVersion: 1 << 30,
				DocumentDigest:  fmt.Sprintf("%064x", 1),
			}
			for i := range rows {
				message.Members = append(message.Members, &hwpeerpb.MemberRow{
					Instance:    fmt.Sprintf("router-%03d", i),
					Address:     "10.20.30.40:18001",
					Zone:        "zone-12",
					Boot:        1 << 60,
					Incarnation: 3,
				})
			}
			for range b.N {
				_ = proto.Size(message)
			}
			b.ReportMetric(float64(proto.Size(message)), "message-bytes")
		})
	}
}
