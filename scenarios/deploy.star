about("A rolling deploy: every machine is drained, restarted and comes back cold, one after the other.")
traffic(use=0.4, length_s=80)
banks = 4
for b in range(1, banks + 1):
    for i, m in enumerate(["c", "b", "a"]):
        at(5 + 6 * (3 * (b - 1) + i), drain("db%d%s" % (b, m), length_s=4))
expect("rules", most=0)
expect("whole", least=0.85)
