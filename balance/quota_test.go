package balance

import (
	"testing"
	"time"
)

func TestTokenBucket(t *testing.T) {
	bucket := newTokenBucket(0.5)
	now := 100 * time.Second
	for i := range int(creditBurst) {
		if !bucket.take(now) {
			t.Fatalf("request %d of the burst is over the quota, want it within", i)
		}
	}
	if bucket.take(now) {
		t.Fatal("a request after the burst is within the quota, want it over")
	}
	if now += 2 * time.Second; !bucket.take(now) {
		t.Error("no token after two seconds at 0.5 tokens per second, want one")
	}
}

func TestPriorityWeightOverQuota(t *testing.T) {
	c := testConfig()
	c.Tenants = []Tenant{{Name: "t", Quota: 1}}
	b, err := New(c, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.now = 100 * time.Second
	class := b.classes["write"]
	for range int(creditBurst) {
		if got := b.priorityWeight(class, "t"); got != 3 {
			t.Fatalf("got weight %v within the quota, want 3", got)
		}
	}
	if got := b.priorityWeight(class, "t"); got != 3*c.OverQuotaWeight {
		t.Errorf("got weight %v over the quota, want %v", got, 3*c.OverQuotaWeight)
	}
	if got := b.priorityWeight(class, "unknown"); got != 3 {
		t.Errorf("got weight %v of a tenant without a quota, want 3", got)
	}
}

// With hundreds of instances a tenant sends less than one request per second to each. That must count as within its
// quota.
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
			t.Fatalf("got weight %v at 0.25 requests per second, the share of the quota; want 3", w.weight)
		}
	}
}
