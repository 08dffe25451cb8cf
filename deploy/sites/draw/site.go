package main

// Range is a lower and an upper bound; the test bench draws the value for a simulated day between them.
type Range [2]float64

// Site is a deployment in the format of the test bench. Fields with times have the unit in their names.
type Site struct {
	Name      string    `toml:"name"`
	Family    string    `toml:"family"`
	Wire      string    `toml:"wire"`
	Day       Day       `toml:"day"`
	Scale     Scale     `toml:"scale"`
	Load      Load      `toml:"load"`
	Net       Net       `toml:"net"`
	Front     Front     `toml:"front"`
	Clients   Clients   `toml:"clients"`
	Discovery Discovery `toml:"discovery"`
	Allow     Allow     `toml:"allow"`
	Rules     Rules     `toml:"rules"`
	Goal      Goal      `toml:"goal"`
	Prices    Prices    `toml:"prices"`
	Tiers     []Tier    `toml:"tier"`
	Classes   []Class   `toml:"class"`
	Tenants   []Tenant  `toml:"tenant,omitempty"`
	Functions Functions `toml:"fam"`
	Troubles  []Trouble `toml:"trouble"`
}

// Day is the length and the size of a simulated day.
type Day struct {
	LengthS       Range `toml:"length_s"`
	TickMS        int   `toml:"tick_ms"`
	MaxRequests   int   `toml:"max_requests"`
	Troubles      Range `toml:"troubles"`
	InStep        bool  `toml:"in_step"`
	StartSpreadMS Range `toml:"start_spread_ms"`
}

// Scale is the number of workers (servers) and front ends (balancers) of the simulated days.
type Scale struct {
	Servers       [2]int `toml:"servers"`
	Balancers     [2]int `toml:"balancers"`
	BigServers    [2]int `toml:"big_servers"`
	BigBalancers  [2]int `toml:"big_balancers"`
	TwinServers   int    `toml:"twin_servers"`
	TwinBalancers int    `toml:"twin_balancers"`
}

// Load is the traffic, as shares of the workers' capacity.
type Load struct {
	Quiet           Range    `toml:"quiet"`
	Trouble         Range    `toml:"trouble"`
	Overload        Range    `toml:"overload"`
	Big             Range    `toml:"big"`
	Shape           []string `toml:"shape"`
	Swing           Range    `toml:"swing"`
	ZoneSkew        any      `toml:"zone_skew"` // 0 or a range
	StreamCV        Range    `toml:"stream_cv"`
	Hints           string   `toml:"hints"`
	WorthBy         string   `toml:"worth_by"`
	OverShareWorth  float64  `toml:"over_share_worth,omitempty"`
	QuotaOfCapacity *Range   `toml:"quota_of_capacity,omitempty"`
}

// Net is the network within and between zones.
type Net struct {
	Zones      []string `toml:"zones"`
	SameMS     Range    `toml:"same_ms"`
	CrossMS    *Range   `toml:"cross_ms,omitempty"`
	ClientMS   Range    `toml:"client_ms"`
	Jitter     Range    `toml:"jitter"`
	ServerSkew Range    `toml:"server_skew"`
}

// Front is the layer that distributes client connections over the front ends.
type Front struct {
	Entry   string `toml:"entry"`
	NoticeS Range  `toml:"notice_s"`
}

// Clients is the retry behaviour of clients.
type Clients struct {
	Retries         Range    `toml:"retries"`
	TryShare        Range    `toml:"try_share"`
	Backoff         []string `toml:"backoff"`
	Honour          Range    `toml:"honour"`
	BackoffMS       Range    `toml:"backoff_ms"`
	MaxRetryAfterMS int      `toml:"max_retry_after_ms"`
	Impatient       Range    `toml:"impatient"`
	MarksRetry      bool     `toml:"marks_retry"`
}

// Discovery is the delay with which the worker list reports changes.
type Discovery struct {
	Mode          string `toml:"mode"`
	NoticeS       Range  `toml:"notice_s"`
	SilentNoticeS Range  `toml:"silent_notice_s"`
	AddS          Range  `toml:"add_s"`
	PeriodMS      Range  `toml:"period_ms"`
	SpreadMS      Range  `toml:"spread_ms"`
}

// Allow is what front ends are permitted to do.
type Allow struct {
	Probes       bool `toml:"probes"`
	Peers        bool `toml:"peers"`
	Cancel       bool `toml:"cancel"`
	SecondCopies bool `toml:"second_copies"`
	RetryAfter   bool `toml:"retry_after"`
	MaxAttempts  int  `toml:"max_attempts"`
	CPUMSPerS    int  `toml:"cpu_ms_per_s"`
}

// Rules are the parameters of the rules that front ends must keep.
type Rules struct {
	DrainGraceMS int `toml:"drain_grace_ms"`
	FallMultiple int `toml:"fall_multiple"`
	FallMS       int `toml:"fall_ms"`
}

// Goal is the weight of each part of a day in its score.
type Goal struct {
	Whole       float64 `toml:"whole"`
	WorstWindow float64 `toml:"worst_window"`
	WorstClass  float64 `toml:"worst_class"`
	WorstTenant float64 `toml:"worst_tenant,omitempty"`
}

// Prices are subtracted from the gain of a day.
type Prices struct {
	CrossZone float64 `toml:"cross_zone"`
	Waste     float64 `toml:"waste"`
	Probe     float64 `toml:"probe"`
	Peer      float64 `toml:"peer"`
	LateFail  float64 `toml:"late_fail"`
	Origin    float64 `toml:"origin"`
}

// Tier is the fleet of workers.
type Tier struct {
	Name     string `toml:"name"`
	CellSize [2]int `toml:"cell_size"`
	Weights  string `toml:"weights"`
	Report   Report `toml:"report"`
	Conn     Conn   `toml:"conn"`
	Probe    *Probe `toml:"probe,omitempty"`
	Kinds    []Kind `toml:"kind"`
}

// Report is how workers report their load.
type Report struct {
	How      string   `toml:"how"`
	Fields   []string `toml:"fields"`
	PeriodMS Range    `toml:"period_ms"`
	DelayMS  Range    `toml:"delay_ms"`
	Noise    Range    `toml:"noise"`
}

// Conn is the cost and the limits of connections to workers.
type Conn struct {
	Streams          int    `toml:"streams"`
	HandshakeRTTs    [2]int `toml:"handshake_rtts"`
	HandshakeUS      Range  `toml:"handshake_us"`
	IdleS            int    `toml:"idle_s"`
	ConnectTimeoutMS int    `toml:"connect_timeout_ms"`
	CapPerCore       Range  `toml:"cap_per_core"`
	FullTax          Range  `toml:"full_tax"`
}

// Probe is the cost of checks.
type Probe struct {
	WorkUS     Range `toml:"work_us"`
	CapPerCore Range `toml:"cap_per_core"`
	Deep       bool  `toml:"deep"`
	TimeoutMS  int   `toml:"timeout_ms"`
}

// Kind is one kind of worker.
type Kind struct {
	Name         string   `toml:"name"`
	Share        Range    `toml:"share"`
	Cores        int      `toml:"cores"`
	Speed        Range    `toml:"speed"`
	SpeedCV      Range    `toml:"speed_cv"`
	SlotsPerCore Range    `toml:"slots_per_core"`
	QueuePerCore Range    `toml:"queue_per_core"`
	Thrash       Range    `toml:"thrash"`
	ThrashAt     Range    `toml:"thrash_at"`
	ColdFrom     Range    `toml:"cold_from"`
	ColdS        Range    `toml:"cold_s"`
	WarmBy       string   `toml:"warm_by"`
	PauseMS      int      `toml:"pause_ms"`
	ErrorRate    Range    `toml:"error_rate"`
	Cancel       []string `toml:"cancel"`
	DropsExpired bool     `toml:"drops_expired"`
}

// Class is one class of RPCs: a method.
type Class struct {
	Name         string   `toml:"name"`
	Share        Range    `toml:"share"`
	WorkMS       Range    `toml:"work_ms"`
	Dist         []string `toml:"dist"`
	CV           Range    `toml:"cv"`
	AttemptNoise Range    `toml:"attempt_noise"`
	AimMS        int      `toml:"aim_ms"`
	DeadlineMS   int      `toml:"deadline_ms"`
	Worth        int      `toml:"worth"`
	LateWorth    float64  `toml:"late_worth"`
	Effect       string   `toml:"effect"`
	Group        string   `toml:"group,omitempty"`
	WindowMS     int      `toml:"window_ms,omitempty"`
}

// Tenant is one customer.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage Range   `toml:"usage"`
}

// Functions is the set of functions, and how workers load them.
type Functions struct {
	OnMiss            string          `toml:"on_miss"`
	Orders            bool            `toml:"orders"`
	LoadFree          int             `toml:"load_free,omitempty"`
	LoadShare         float64         `toml:"load_share,omitempty"`
	LoadWindowMS      int             `toml:"load_window_ms,omitempty"`
	OrderTimeoutMS    int             `toml:"order_timeout_ms,omitempty"`
	TellsWarm         bool            `toml:"tells_warm"`
	TellsLoad         bool            `toml:"tells_load"`
	TellsCrowd        bool            `toml:"tells_crowd"`
	ByTenant          bool            `toml:"by_tenant,omitempty"`
	MemoryPrice       float64         `toml:"memory_price"`
	More              string          `toml:"more"`
	WaitsForRoom      bool            `toml:"waits_for_room"`
	KeepS             Range           `toml:"keep_s"`
	LoadsAtOnce       Range           `toml:"loads_at_once"`
	SparePerCore      Range           `toml:"spare_per_core"`
	Catalog           Range           `toml:"catalog"`
	Zipf              Range           `toml:"zipf"`
	Offset            Range           `toml:"offset"`
	Turning           Range           `toml:"turning"`
	SpellS            Range           `toml:"spell_s"`
	Timed             float64         `toml:"timed"`
	Disk              Range           `toml:"disk"`
	FetchShare        Range           `toml:"fetch_share"`
	StartCore         Range           `toml:"start_core"`
	LoadFail          Range           `toml:"load_fail"`
	FailSays          []string        `toml:"fail_says"`
	StoreHeadroom     Range           `toml:"store_headroom"`
	StoreThrash       Range           `toml:"store_thrash"`
	StoreTakes        Range           `toml:"store_takes"`
	StoreFallMultiple int             `toml:"store_fall_multiple"`
	Classes           []FunctionClass `toml:"class"`
}

// FunctionClass is a class of functions with similar size and load time.
type FunctionClass struct {
	MemoryMB  Range `toml:"memory_mb"`
	SizeSigma Range `toml:"size_sigma"`
	LoadMS    Range `toml:"load_ms"`
	LoadSigma Range `toml:"load_sigma"`
	Lanes     int   `toml:"lanes"`
	WorkSigma Range `toml:"work_sigma"`
}

// Trouble is a kind of trouble that is specific to the site.
type Trouble struct {
	Name   string `toml:"name"`
	LenS   *Range `toml:"len_s,omitempty"`
	Part   *Range `toml:"part,omitempty"`
	Size   *Range `toml:"size,omitempty"`
	Extra  *Range `toml:"extra,omitempty"`
	Weight int    `toml:"weight,omitempty"`
}
