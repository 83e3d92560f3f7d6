package balance

import (
	"testing"
	"time"
)

// At hundreds of instances a tenant sends less than one request a second to each: that is within its quota.
func TestSmallQuotaShareIsNotExceeded(t *testing.T) {
	c := testConfig()
	c.Instances = 200
	c.Tenants = []Tenant{{Name: "t", Quota: 50}}
	h := newHarness(t, c, threeEndpoints(ListCached))
	for range 5 {
		q := h.request("write")
		q.Tenant = "t"
		h.step(4*time.Second, q)
		if w := h.balancer.requests[q.ID]; w != nil && w.weight < 3 {
			t.Fatalf("a quarter of a request a second, all of the share, is worth %v of 3", w.weight)
		}
	}
}
