package main

import (
	"cmp"
	"fmt"
	"slices"
)

// checkTargets compares the values at the target with the budgets of
// docs/design.md, section 2.4.
func checkTargets(r *report) {
	const requestsPerNodeAtTarget = float64(targetRequests) / targetNodes
	membership := r.atTarget("membership_bytes") + r.atTarget("restart_bytes")*targetReplaced/secondsPerDay/targetNodes
	changes := (r.atLargest("change_payload") + r.atTarget("change_bytes_small_set")) * targetChanges / secondsPerDay
	summaries := r.atLargest("dense_progress_bytes") + r.atLargest("dense_digests_bytes")
	permits := r.atLargest("dense_permit_bytes") * requestsPerNodeAtTarget
	fmt.Fprintf(r.out, "budget membership %.0f, configuration %.0f, summaries %.0f, permits %.0f B/s/node at nodes=%d\n",
		membership, changes, summaries, permits, targetNodes)
	r.checkTarget("bytes_at_512_nodes", r.atLargest("membership_bytes")+changes+summaries, budgetBytes, "B/s/node")
	r.checkTarget("bytes_without_permits", membership+changes+summaries, budgetBytes, "B/s/node")
	r.checkTarget("bytes_with_permits", membership+changes+summaries+permits, budgetBytes, "B/s/node")
	r.checkTarget("bytes_sent_by_reader_at_rest", r.atTarget("reader_sent_bytes"), budgetBytes, "B/s")
	r.checkTarget("bytes_received_by_reader_at_rest", r.atTarget("reader_received_bytes")+r.atLargest("head_bytes"), budgetBytes, "B/s")
	cpu := r.atTarget("rest_cpu")/1e9 + r.atLargest("change_in_force")/1e9*targetChanges/secondsPerDay
	r.checkTarget("cpu_without_permits", cpu, budgetCPU, "cores/node")
	r.checkTarget("cpu_with_permits", r.atLargest("dense_cpu_with_fakes")/1e9+r.atLargest("change_in_force")/1e9*targetChanges/secondsPerDay, budgetCPU, "cores/node")
	memory := r.atLargest("memory_configuration") + cellNodes*r.atLargest("memory_peer")
	r.checkTarget("memory", memory, budgetMemory, "B/node")
	r.checkTarget("change_in_force_slowest", r.maximum("change_in_force_slowest"), budgetChange, "s")
	r.checkTarget("change_in_force_slowest_by_slope", r.atTarget("change_in_force_slowest"), budgetChange, "s")
	r.checkTarget("store_calls_start", r.atTarget("store_calls_start_peak"), budgetReads, "calls/s")
	r.checkTarget("store_calls_rest", r.atTarget("store_calls_rest"), budgetReads, "calls/s")
	r.checkTarget("store_calls_outage", r.atTarget("store_calls_outage_peak"), budgetReads, "calls/s")
	r.checkTarget("store_calls_after_outage", r.atTarget("store_calls_after_outage_peak"), budgetReads, "calls/s")
	r.checkTarget("store_writes_changes", r.atLargest("change_store_calls")*targetChanges/secondsPerDay, budgetWrites, "calls/s")
}

// atLargest returns the value at the largest measured number of nodes.
func (r *report) atLargest(quantity string) float64 {
	points := r.series[quantity]
	return slices.MaxFunc(points, func(a, b point) int { return a.nodes - b.nodes }).value
}

// maximum returns the largest measured value of a quantity.
func (r *report) maximum(quantity string) float64 {
	points := r.series[quantity]
	return slices.MaxFunc(points, func(a, b point) int { return cmp.Compare(a.value, b.value) }).value
}
