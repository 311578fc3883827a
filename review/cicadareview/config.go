package cicadareview

// Host is the host name of all routes.
const Host = "service.example"

type (
	// Deployment is a configuration of the operator.
	Deployment struct {
		Version  int
		Routes   []Route
		Services []Service
		Limits   Limits
		Tenants  []Tenant
	}

	// Route is a route of a configuration.
	Route struct {
		Name, Host, Prefix, Kind, Service string
		DeadlineMs, LatencyTargetMs       int
		GapTargetMs                       int `json:",omitempty"`
		Priority, MaxAttempts             int
		Public, Affinity, CanResume       bool
	}

	// Service is a service of a configuration.
	Service struct {
		Name, HealthPath string
		MaxConns         int
		Engine           *Engine `json:",omitempty"`
	}

	// Engine has the properties of a model engine.
	Engine struct{ Slots, KvCapacity, Stride int }

	// Limits bound what callers may send.
	Limits struct{ MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int }

	// Tenant is an organisation of a configuration.
	Tenant struct {
		Name    string
		ApiKeys []string //nolint:revive // the platform's name
		Prepaid int
	}
)

// StandardLimits returns the limits of a small deployment.
func StandardLimits() Limits {
	return Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}
}
