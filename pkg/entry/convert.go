package entry

import (
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

func engineToWire(i api.EngineInfo) *rpc.Endpoint {
	return &rpc.Endpoint{
		Model:        i.Model,
		ModelVersion: i.ModelVersion,
		FirstLayer:   uint32(i.FirstLayer),
		EndLayer:     uint32(i.EndLayer),
		Accelerator:  i.Accelerator,
		Incarnation:  i.Incarnation,
		Slots:        uint32(i.Slots),
		Batch:        uint32(i.Batch),
		LayerUs:      float32(i.LayerUS),
		SequenceUs:   float32(i.SequenceUS),
		TokenUs:      float32(i.TokenUS),
		State:        leavingState(i.Leaving),
	}
}

func serviceToWire(i api.ServiceInfo) *rpc.Endpoint {
	return &rpc.Endpoint{
		Incarnation: i.Incarnation,
		State:       leavingState(i.Leaving),
	}
}

func leavingState(leaving bool) rpc.EndpointState {
	if leaving {
		return rpc.EndpointState_ENDPOINT_LEAVING
	}
	return rpc.EndpointState_ENDPOINT_LIVE
}

func outcomeOf(status int, contentType string, body []byte, ran string) *rpc.Outcome {
	return &rpc.Outcome{
		Ran:         ran,
		Status:      uint32(status),
		ContentType: contentType,
		Body:        body,
	}
}
