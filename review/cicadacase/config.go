package cicadacase

type (
	// Config is the operator's configuration.
	Config struct {
		Version  uint64          `json:"Version"`
		Routes   []RouteConfig   `json:"Routes"`
		Services []ServiceConfig `json:"Services"`
		Limits   LimitsConfig    `json:"Limits"`
		Tenants  []TenantConfig  `json:"Tenants"`
	}

	// RouteConfig is a route.
	RouteConfig struct {
		Name            string `json:"Name"`
		Host            string `json:"Host"`
		Prefix          string `json:"Prefix"`
		Kind            string `json:"Kind"`
		DeadlineMs      int    `json:"DeadlineMs"`
		LatencyTargetMs int    `json:"LatencyTargetMs"`
		GapTargetMs     int    `json:"GapTargetMs,omitempty"`
		Priority        int    `json:"Priority"`
		Service         string `json:"Service"`
		MaxAttempts     int    `json:"MaxAttempts"`
		Public          bool   `json:"Public"`
		Affinity        bool   `json:"Affinity"`
		CanResume       bool   `json:"CanResume"`
	}

	// ServiceConfig is a service.
	ServiceConfig struct {
		Name       string        `json:"Name"`
		HealthPath string        `json:"HealthPath"`
		MaxConns   int           `json:"MaxConns"`
		Protocol   string        `json:"Protocol"`
		Engine     *EngineConfig `json:"Engine,omitempty"`
	}

	// EngineConfig describes the engines of a service.
	EngineConfig struct {
		Slots      int `json:"Slots"`
		KvCapacity int `json:"KvCapacity"`
		Stride     int `json:"Stride"`
	}

	// LimitsConfig bounds what callers may send.
	LimitsConfig struct {
		MaxHeaderBytes  int `json:"MaxHeaderBytes"`
		MaxBodyBytes    int `json:"MaxBodyBytes"`
		HeaderTimeoutMs int `json:"HeaderTimeoutMs"`
		IdleTimeoutMs   int `json:"IdleTimeoutMs"`
	}

	// TenantConfig is a tenant.
	TenantConfig struct {
		Name    string   `json:"Name"`
		APIKeys []string `json:"ApiKeys"`
		Prepaid *int64   `json:"Prepaid,omitempty"`
	}
)

// DefaultLimits are the limits of the example in the pages.
func DefaultLimits() LimitsConfig {
	return LimitsConfig{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}
}
