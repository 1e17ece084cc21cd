package hwretry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwretry"
)

// Hedges had used up the budget when an upstream failed, and the requests that failed there could not be retried.
func TestHedgesLeaveHalfOfTheBudgetToRetries(t *testing.T) {
	now := time.Unix(0, 0)
	b := hwretry.NewBudget(now, hwretry.BudgetSettings{
		RetryRatio: 0.5,
		MaxBalance: 10,
	})
	for range 5 {
		assert.True(t, b.TryWithdrawHedge(now))
	}
	assert.False(t, b.TryWithdrawHedge(now))
	for range 5 {
		assert.True(t, b.TryWithdraw(now))
	}
	assert.False(t, b.TryWithdraw(now))
	for range 10 {
		b.Deposit(now)
	}
	assert.False(t, b.TryWithdrawHedge(now), "half of the balance has come back, all of which is kept for retries")
	for range 2 {
		b.Deposit(now)
	}
	assert.True(t, b.TryWithdrawHedge(now))
}
