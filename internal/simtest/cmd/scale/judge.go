package main

import (
	"cmp"
	"fmt"
	"slices"
)

// judge compares the values at the target with the budgets of section 2.4.
func judge(r *report) {
	const requestsPerNodeAtTarget = float64(targetRequests) / targetNodes
	membership := r.atTarget("membership_bytes") + r.atTarget("restart_bytes")*targetReplaced/secondsPerDay/targetNodes
	changes := (r.last("change_payload") + r.atTarget("change_bytes_small_set")) * targetChanges / secondsPerDay
	summaries := r.last("dense_progress_bytes") + r.last("dense_digests_bytes")
	permits := r.last("dense_permit_bytes") * requestsPerNodeAtTarget
	fmt.Fprintf(r.out, "budget membership %.0f, configuration %.0f, summaries %.0f, permits %.0f B/s/node at nodes=%d\n",
		membership, changes, summaries, permits, targetNodes)
	r.verdict("bytes_at_512_nodes", r.last("membership_bytes")+changes+summaries, budgetBytes, "B/s/node")
	r.verdict("bytes_without_permits", membership+changes+summaries, budgetBytes, "B/s/node")
	r.verdict("bytes_with_permits", membership+changes+summaries+permits, budgetBytes, "B/s/node")
	r.verdict("bytes_sent_by_reader_at_rest", r.atTarget("reader_sent_bytes"), budgetBytes, "B/s")
	r.verdict("bytes_received_by_reader_at_rest", r.atTarget("reader_received_bytes")+r.last("head_bytes"), budgetBytes, "B/s")
	cpu := r.atTarget("rest_cpu")/1e9 + r.last("change_in_force")/1e9*targetChanges/secondsPerDay
	r.verdict("cpu_without_permits", cpu, budgetCPU, "cores/node")
	r.verdict("cpu_with_permits", r.last("dense_cpu_with_fakes")/1e9+r.last("change_in_force")/1e9*targetChanges/secondsPerDay, budgetCPU, "cores/node")
	memory := r.last("memory_configuration") + cellNodes*r.last("memory_peer")
	r.verdict("memory", memory, budgetMemory, "B/node")
	r.verdict("change_in_force_slowest", r.most("change_in_force_slowest"), budgetChange, "s")
	r.verdict("change_in_force_slowest_by_slope", r.atTarget("change_in_force_slowest"), budgetChange, "s")
	r.verdict("store_calls_start", r.atTarget("store_calls_start_peak"), budgetReads, "calls/s")
	r.verdict("store_calls_rest", r.atTarget("store_calls_rest"), budgetReads, "calls/s")
	r.verdict("store_calls_outage", r.atTarget("store_calls_outage_peak"), budgetReads, "calls/s")
	r.verdict("store_calls_after_outage", r.atTarget("store_calls_after_outage_peak"), budgetReads, "calls/s")
	r.verdict("store_writes_changes", r.last("change_store_calls")*targetChanges/secondsPerDay, budgetWrites, "calls/s")
}

// last returns the value at the largest number of nodes.
func (r *report) last(quantity string) float64 {
	points := r.series[quantity]
	return slices.MaxFunc(points, func(a, b point) int { return a.nodes - b.nodes }).value
}

// most returns the largest value.
func (r *report) most(quantity string) float64 {
	points := r.series[quantity]
	return slices.MaxFunc(points, func(a, b point) int { return cmp.Compare(a.value, b.value) }).value
}
