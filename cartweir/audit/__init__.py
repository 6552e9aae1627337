"""The five rules, decided from what passed on the sockets of a run.

decode.py: tap files to exchanges, by hyperframe and hpack alone. rules.py: exchanges to breaches.
run.py: the files of a run, and the report.
"""
