about("Nothing happens: the usual load on three routers.")
traffic(use=0.4, length_s=40)
expect("rules", most=0)
expect("worth", least=0.95)
