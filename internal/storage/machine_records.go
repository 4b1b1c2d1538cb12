package storage

// MachineRecord is the durable record of a machine that has reservations or is being
// terminated.
type MachineRecord struct {
	Addr        string `json:"a,omitempty"`
	Type        string `json:"t,omitempty"`
	Zone        string `json:"z,omitempty"`
	Spot        bool   `json:"l,omitempty"`
	Incarnation uint64 `json:"r,omitempty"`
	Terminating bool   `json:"x,omitempty"`
	// Images maps the images that the machine has fetched to their sizes in GB. Without this
	// record, a new leader would assume that the machine has only the images of its running tasks.
	// It would then place tasks as if all other images had to be fetched again.
	Images map[string]float64 `json:"i,omitempty"`
}

// LaunchRecord is the durable record of a request to the cloud to launch machines. It is written
// before the request is sent. Its key contains the name of the launch: see LaunchKey.
type LaunchRecord struct {
	Type  string `json:"t"`
	Zone  string `json:"z"`
	Spot  bool   `json:"l,omitempty"`
	Count int    `json:"n"`
}

// FleetRecord is the durable record of the desired number of machines in the fleet and of the term of
// the leader that set it.
type FleetRecord struct {
	Desired int    `json:"n"`
	Term    uint64 `json:"t"`
}

// MachineType is one of the machine types that the cloud offers.
type MachineType struct {
	Name      string    `json:"n"`
	Resources Resources `json:"r"`
	CacheGB   float64   `json:"c,omitempty"`
	FetchGBPS float64   `json:"f,omitempty"` // download rate of images in GB per second
	Price     float64   `json:"p"`
	SpotPrice float64   `json:"sp,omitempty"`
	BootS     float64   `json:"b,omitempty"` // provisioning latency in seconds
	Zones     []string  `json:"z"`
}
